package org.wigeonstage.placement;

import java.util.Set;
import java.util.TreeSet;

/**
 * Decides how many slots of each server a request leaves free for more urgent ones.
 *
 * <p>Slots are left free only for ranks whose routes lead to the pool. Before, a request of rank 3
 * left three of six slots free in a pool that no more urgent route leads to, and was rejected while
 * half of the pool was idle.
 */
final class SlotReservations {

  private final int slotsPerRank;
  private final TreeSet<Integer> routeRanks = new TreeSet<>();

  SlotReservations(int slotsPerRank) {
    this.slotsPerRank = slotsPerRank;
  }

  /** Replaces the ranks of the routes that lead to the pool; none means that they are unknown. */
  void applyRouteRanks(Set<Integer> ranks) {
    routeRanks.clear();
    routeRanks.addAll(ranks);
  }

  /** Returns how many slots of each server a request of a route rank leaves free. */
  int reservedSlots(int routeRank) {
    int moreUrgentRanks = routeRanks.isEmpty() ? routeRank : routeRanks.headSet(routeRank).size();
    return slotsPerRank * moreUrgentRanks;
  }
}
