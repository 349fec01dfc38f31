package org.wigeonstage.quota;

import java.time.Duration;
import org.wigeonstage.routes.AccountQuota;

/**
 * By how much the use of a quota may exceed it, as the operators measure it over a window.
 *
 * <p>Callers send in bursts, and a single request may count more than a second of its account's
 * rate. While backend servers have places to spare, requests beyond the quota are therefore served
 * within what the operators tolerate.
 *
 * <p>At most {@code burst + pace * t} is used in any time {@code t}. Together with {@code
 * afterRestart}, that is the limit after a whole window. Gateways that all restarted may therefore
 * use {@code afterRestart + pace * t}, whatever was used before.
 *
 * @param window the length of the window
 * @param overage the part of the quota by which the use may exceed it
 * @param slack tokens beside that
 */
public record QuotaTolerance(Duration window, double overage, double slack) {

  /** The part of the limit that is used; the rest covers use that was not heard of yet. */
  private static final double USED_SHARE = 0.90;

  /** The part of the slack that is kept for gateways that don't know what was used before. */
  private static final double RESTART_SHARE = 1.0 / 3;

  /** The part of the limit that can be used at once where a quota has hardly a burst. */
  private static final double MIN_BURST_SHARE = 0.05;

  private static final double MILLIS_PER_SECOND = 1e3;

  /** Returns what all gateways may use together in any window. */
  double limit(AccountQuota quota) {
    double nominal = quota.perSecond() * seconds() + quota.burst();
    return USED_SHARE * (nominal * (1 + overage) + slack(quota));
  }

  /** Returns the units per second that may be used beside the burst. */
  double pace(AccountQuota quota) {
    double limit = limit(quota);
    double burst = Math.max(quota.burst(), MIN_BURST_SHARE * limit);
    return Math.min(quota.perSecond(), (limit - afterRestart(quota) - burst) / seconds());
  }

  /** Returns what all gateways may use together at once. */
  double burst(AccountQuota quota) {
    return limit(quota) - afterRestart(quota) - pace(quota) * seconds();
  }

  /** Returns what all gateways may use together at once when they have lost all counts. */
  double afterRestart(AccountQuota quota) {
    return RESTART_SHARE * USED_SHARE * slack(quota);
  }

  private double slack(AccountQuota quota) {
    return quota.countsTokens() ? slack : 0;
  }

  private double seconds() {
    return window.toMillis() / MILLIS_PER_SECOND;
  }
}
