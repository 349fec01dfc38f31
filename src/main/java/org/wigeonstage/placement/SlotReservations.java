package org.wigeonstage.placement;

import java.time.Duration;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Decides how many slots of each server a request leaves free for more urgent ones.
 *
 * <p>Slots are left free only for ranks whose routes lead to the pool. Before, a request of rank 3
 * left three of six slots free in a pool that no more urgent route leads to, and was rejected while
 * half of the pool was idle.
 *
 * <p>More slots are left free by requests that keep theirs for long, as many as more urgent
 * requests are expected to arrive at each server meanwhile. Otherwise a burst of less urgent
 * requests fills the servers, and the urgent ones that arrive in the next second wait until these
 * runs end.
 */
final class SlotReservations {

  private static final double NANOS_PER_SECOND = 1e9;

  /** The time in which the weight of an arrival decreases to 1/e: bursts last a few seconds. */
  private static final double TIME_CONSTANT_SECONDS = 2;

  /**
   * The longest time for which arrivals are provided for: in it, a full server of nine slots with
   * runs of a second frees one by itself. With half of a second, slots stayed empty under lasting
   * overload, and less urgent requests lost more than the most urgent ones won.
   */
  private static final Duration MAX_HORIZON = Duration.ofMillis(100);

  /** The part of a server's slots that is left free at most, besides one slot for each rank. */
  private static final int MAX_EXTRA_DIVISOR = 3;

  /** The weight of the newest expected duration. */
  private static final double SMOOTHING_FACTOR = 0.1;

  /** The weight of the newest share of this gateway, of which two are measured a second. */
  private static final double SHARE_SMOOTHING_FACTOR = 0.3;

  /** The assumed share of a gateway without runs; the share of 1,000 equal gateways. */
  private static final double MIN_SHARE = 0.001;

  /** What is known of the requests of one route rank at this gateway. */
  private static final class Arrivals {
    private double weight;
    private double meanSeconds;
    private int extraSlots;
  }

  private final int slotsPerRank;
  private final TreeSet<Integer> routeRanks = new TreeSet<>();
  private final TreeMap<Integer, Arrivals> arrivals = new TreeMap<>();
  private double ownShare = 1;
  private boolean isShareKnown;

  SlotReservations(int slotsPerRank) {
    this.slotsPerRank = slotsPerRank;
  }

  /** Replaces the ranks of the routes that lead to the pool; none means that they are unknown. */
  void applyRouteRanks(Set<Integer> ranks) {
    routeRanks.clear();
    routeRanks.addAll(ranks);
  }

  /** Records the arrival of a request, and for how long it is expected to keep a slot. */
  void recordArrival(int routeRank, Duration expectedDuration) {
    Arrivals own = arrivals.computeIfAbsent(routeRank, key -> new Arrivals());
    double seconds = expectedDuration.toNanos() / NANOS_PER_SECOND;
    own.meanSeconds += (own.weight == 0 ? 1 : SMOOTHING_FACTOR) * (seconds - own.meanSeconds);
    own.weight++;
  }

  /**
   * Updates the number of slots that are left free. The arrivals at peers are estimated from the
   * own ones, by the share of all runs that this gateway has; without peers it is the whole.
   *
   * @param ownRuns the requests of this gateway that run on any server
   * @param allRuns those of all gateways
   * @param servers the number of servers
   * @param slots the number of all their slots
   * @param elapsed the time since the last update
   */
  void update(int ownRuns, int allRuns, int servers, int slots, Duration elapsed) {
    if (allRuns > 0) {
      double share = (double) ownRuns / allRuns;
      ownShare += (isShareKnown ? SHARE_SMOOTHING_FACTOR : 1) * (share - ownShare);
      isShareKnown = true;
    }
    double retained = Math.exp(-elapsed.toNanos() / NANOS_PER_SECOND / TIME_CONSTANT_SECONDS);
    int serverCount = Math.max(1, servers);
    int maxExtraSlots = slots / serverCount / MAX_EXTRA_DIVISOR;
    double moreUrgentPerSecond = 0;
    for (Arrivals own : arrivals.values()) {
      double horizon = Math.min(own.meanSeconds, MAX_HORIZON.toNanos() / NANOS_PER_SECOND);
      double perServer = moreUrgentPerSecond * horizon / serverCount;
      own.extraSlots = (int) Math.min(maxExtraSlots, Math.round(perServer));
      moreUrgentPerSecond += own.weight / TIME_CONSTANT_SECONDS / Math.max(MIN_SHARE, ownShare);
      own.weight *= retained;
    }
  }

  /** Returns how many slots of each server a request of a route rank leaves free. */
  int reservedSlots(int routeRank) {
    int moreUrgentRanks = routeRanks.isEmpty() ? routeRank : routeRanks.headSet(routeRank).size();
    Arrivals own = arrivals.get(routeRank);
    return slotsPerRank * moreUrgentRanks + (own == null ? 0 : own.extraSlots);
  }
}
