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
 * <p>For a quota of {@code unitsPerSecond} and {@code burstUnits}, all gateways together may use
 *
 * <pre>
 * maxUnitsPerWindow = 0.9 * ((unitsPerSecond * window + burstUnits) * (1 + overageRatio) + slackTokens)
 * </pre>
 *
 * <p>in any window. This amount has three parts:
 *
 * <pre>
 * toleratedBurst + sustainedRate * window + toleratedBurstAfterRestart = maxUnitsPerWindow
 * </pre>
 *
 * <ul>
 *   <li>{@code toleratedBurst + sustainedRate * t} is the maximum usage in any time {@code t}. The
 *       sustained rate is at most {@code unitsPerSecond}, and the tolerated burst is at least
 *       {@code burstUnits}.
 *   <li>{@code toleratedBurstAfterRestart + sustainedRate * t} is the maximum usage in the time
 *       {@code t} after all gateways have restarted, regardless of the usage before.
 * </ul>
 *
 * @param window the length of the window
 * @param overageRatio the share of the quota by which usage may exceed it
 * @param slackTokens the tokens by which usage may exceed the quota in addition to the overage, if
 *     the quota counts tokens; there is no slack for requests
 */
public record QuotaTolerance(Duration window, double overageRatio, double slackTokens) {

  /**
   * The share of the tolerated usage that gateways use; the rest covers usage that peers have not
   * reported yet.
   */
  private static final double USABLE_SHARE = 0.90;

  /** The share of the slack reserved for gateways that don't know the usage before their start. */
  private static final double RESTART_SHARE = 1.0 / 3;

  /**
   * The minimum tolerated burst as a share of the units per window, for quotas with little or no
   * burst.
   */
  private static final double MIN_TOLERATED_BURST_SHARE = 0.05;

  private static final double MILLIS_PER_SECOND = 1e3;

  /** Returns the units that all gateways together may use in any window. */
  double maxUnitsPerWindow(AccountQuota quota) {
    double nominal = quota.unitsPerSecond() * seconds() + quota.burstUnits();
    return USABLE_SHARE * (nominal * (1 + overageRatio) + slack(quota));
  }

  /** Returns the units per second that may be used in addition to the tolerated burst. */
  double sustainedRate(AccountQuota quota) {
    double maxUnits = maxUnitsPerWindow(quota);
    double minToleratedBurst = Math.max(quota.burstUnits(), MIN_TOLERATED_BURST_SHARE * maxUnits);
    return Math.min(
        quota.unitsPerSecond(),
        (maxUnits - toleratedBurstAfterRestart(quota) - minToleratedBurst) / seconds());
  }

  /** Returns the units that all gateways together may use at once, beyond the sustained rate. */
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
