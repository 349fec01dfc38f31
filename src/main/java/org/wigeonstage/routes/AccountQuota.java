package org.wigeonstage.routes;

/**
 * The limit on a client account's usage across all gateways.
 *
 * @param unitsPerSecond the rate in units per second, or 0 if there is no limit
 * @param burstUnits the units that may be used at once
 * @param countsTokens whether the units are tokens rather than requests
 * @param defaultTokens the cost in tokens of a request that declares none
 */
public record AccountQuota(
    double unitsPerSecond, double burstUnits, boolean countsTokens, long defaultTokens) {

  public static final AccountQuota UNLIMITED = new AccountQuota(0, 0, false, 0);

  /**
   * Returns whether usage is limited.
   *
   * @return whether there is a limit
   */
  public boolean isLimited() {
    return unitsPerSecond > 0;
  }

  /**
   * Returns the cost of a request.
   *
   * @param declaredTokens the tokens that the caller declared, or -1 if none
   * @return the cost in units
   */
  public long costOf(long declaredTokens) {
    if (!countsTokens) {
      return 1;
    }
    return declaredTokens >= 0 ? declaredTokens : defaultTokens;
  }
}
