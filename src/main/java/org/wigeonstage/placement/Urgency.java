package org.wigeonstage.placement;

import java.util.Comparator;

/**
 * How urgent a request is. The client account's rank goes before the route's; lower is more urgent.
 *
 * @param accountRank the account's rank
 * @param routeRank the route's rank
 */
public record Urgency(int accountRank, int routeRank) implements Comparable<Urgency> {

  private static final Comparator<Urgency> ORDER =
      Comparator.comparingInt(Urgency::accountRank).thenComparingInt(Urgency::routeRank);

  @Override
  public int compareTo(Urgency other) {
    return ORDER.compare(this, other);
  }
}
