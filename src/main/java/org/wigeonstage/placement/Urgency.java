package org.wigeonstage.placement;

import org.jspecify.annotations.Nullable;

/**
 * The urgency of a request. The rank of the client account is compared first, then that of the
 * route; lower ranks are more urgent, and 0 is the most urgent.
 *
 * @param accountRank the rank of the client account
 * @param routeRank the rank of the route
 */
public record Urgency(int accountRank, int routeRank) implements Comparable<Urgency> {

  @Override
  public int compareTo(Urgency other) {
    return accountRank != other.accountRank
        ? Integer.compare(accountRank, other.accountRank)
        : Integer.compare(routeRank, other.routeRank);
  }

  /**
   * Implemented explicitly, like {@link #hashCode}, because the methods generated for records are
   * linked on first use, which is slow.
   */
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof Urgency that
        && accountRank == that.accountRank
        && routeRank == that.routeRank;
  }

  @Override
  public int hashCode() {
    return 31 * accountRank + routeRank;
  }
}
