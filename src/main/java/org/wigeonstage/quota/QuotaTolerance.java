package org.wigeonstage.quota;

import java.time.Duration;
import org.wigeonstage.routes.AccountQuota;

/**
 * By how much the use of a quota may exceed it, as the operators measure it over a window.
 *
 * <p>Callers send in bursts, and a single request may count more than a second of its account's
 * rate. What the operators tolerate is therefore added to the size of the bucket, so that a burst
 * is refused only where the window's limit is at stake.
 *
 * @param window the length of the window
 * @param overage the part of the quota by which the use may exceed it
 * @param slack units beside that
 */
public record QuotaTolerance(Duration window, double overage, double slack) {

  /** The part of the tolerance that is used; the rest covers use that was not heard of yet. */
  private static final double USED_SHARE = 0.65;

  /** The part that may be used at once after a start, when earlier use is not known. */
  private static final double START_SHARE = 0.2;

  private static final double MILLIS_PER_SECOND = 1e3;

  double capacity(AccountQuota quota) {
    return quota.burst() + USED_SHARE * tolerated(quota);
  }

  double levelAtStart(AccountQuota quota) {
    return START_SHARE * tolerated(quota);
  }

  private double tolerated(AccountQuota quota) {
    double seconds = window.toMillis() / MILLIS_PER_SECOND;
    double quotaInWindow = quota.perSecond() * seconds + quota.burst();
    return overage * quotaInWindow + (quota.countsTokens() ? slack : 0);
  }
}
