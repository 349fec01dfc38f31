package org.wigeonstage.quota;

import java.time.Duration;
import org.wigeonstage.routes.AccountQuota;

/**
 * The amount by which usage may exceed a quota, as operators measure it over a window.
 *
 * <p>Callers send in bursts, and a single request may cost more than its account's rate allows in a
 * second. While backend servers have free slots, requests beyond the quota are therefore served
 * within this tolerance.
 *
 * <p>Usage in any time {@code t} is at most {@code burst + sustainedRate * t}. Over a whole window,
 * that and {@code toleratedBurstAfterRestart} add up to the limit. If all gateways restart, they
 * may therefore use {@code toleratedBurstAfterRestart + sustainedRate * t}, regardless of the usage
 * before.
 *
 * @param window the length of the window
 * @param overageRatio the share of the quota by which usage may exceed it
 * @param slackTokens the tokens by which usage may exceed the quota in addition to the overage
 */
public record QuotaTolerance(Duration window, double overageRatio, double slackTokens) {

  /**
   * The share of the tolerated usage at which the limit is set; the rest covers usage that peers
   * have not reported yet.
   */
  private static final double USABLE_SHARE = 0.90;

  /** The share of the slack reserved for gateways that don't know the usage before their start. */
  private static final double RESTART_SHARE = 1.0 / 3;

  /** The minimum burst as a share of the limit, for quotas with little or no burst. */
  private static final double MIN_TOLERATED_BURST_SHARE = 0.05;

  private static final double MILLIS_PER_SECOND = 1e3;

  /** Returns the units that all gateways together may use in any window. */
  double maxUnitsPerWindow(AccountQuota quota) {
    double nominal = quota.unitsPerSecond() * seconds() + quota.burstUnits();
    return USABLE_SHARE * (nominal * (1 + overageRatio) + slack(quota));
  }

  /** Returns the units per second that may be used in addition to the burst. */
  double sustainedRate(AccountQuota quota) {
    double maxUnits = maxUnitsPerWindow(quota);
    double minToleratedBurst = Math.max(quota.burstUnits(), MIN_TOLERATED_BURST_SHARE * maxUnits);
    return Math.min(
        quota.unitsPerSecond(),
        (maxUnits - toleratedBurstAfterRestart(quota) - minToleratedBurst) / seconds());
  }

  /** Returns the units that all gateways together may use at once. */
  double toleratedBurst(AccountQuota quota) {
    return maxUnitsPerWindow(quota)
        - toleratedBurstAfterRestart(quota)
        - sustainedRate(quota) * seconds();
  }

  /** Returns the units that all gateways together may use at once after they lost all counts. */
  double toleratedBurstAfterRestart(AccountQuota quota) {
    return RESTART_SHARE * USABLE_SHARE * slack(quota);
  }

  private double slack(AccountQuota quota) {
    return quota.countsTokens() ? slackTokens : 0;
  }

  private double seconds() {
    return window.toMillis() / MILLIS_PER_SECOND;
  }
}
