package org.wigeonstage.routes;

/**
 * A client account's limit over all gateways.
 *
 * @param perSecond units per second; 0 where there is no limit
 * @param burst units that may be used at once
 * @param countsTokens whether units are tokens rather than requests
 * @param defaultTokens what a request counts that declares no tokens
 */
public record AccountQuota(
    double perSecond, double burst, boolean countsTokens, long defaultTokens) {

  /** No limit. */
  public static final AccountQuota UNLIMITED = new AccountQuota(0, 0, false, 0);

  /**
   * Returns whether there is a limit.
   *
   * @return whether requests count
   */
  public boolean isLimited() {
    return perSecond > 0;
  }

  /**
   * Returns what a request counts.
   *
   * @param declaredTokens the tokens that the caller declares, or -1
   * @return units
   */
  public long costOf(long declaredTokens) {
    if (!countsTokens) {
      return 1;
    }
    return declaredTokens >= 0 ? declaredTokens : defaultTokens;
  }
}
