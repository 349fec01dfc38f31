package org.wigeonstage.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;

/**
 * Counts the slots that this gateway's waiting requests may take while at least as many equally
 * urgent ones wait at peers. Without it, all gateways start a request in a slot that all of them
 * see becoming free.
 *
 * <p>The counts hold for a round, from one update of the peers' load to the next.
 */
final class SlotClaims {

  /**
   * The part of a gateway's share of the free slots that it may take in a round. A slot that a peer
   * takes looks free for about four rounds: until the peer's next report, and the round after it.
   */
  private static final double SHARE_PER_ROUND = 0.25;

  /**
   * A request that leaves its slot sooner crowds it for less time than the slot would be idle until
   * a gateway claims it.
   */
  private static final Duration MIN_DURATION = Duration.ofMillis(250);

  private final RandomGenerator random;
  private final Map<Urgency, Integer> claims = new HashMap<>();
  private int releasedSlots;

  SlotClaims(RandomGenerator random) {
    this.random = random;
  }

  /** Returns whether a request of the given expected duration may crowd a slot for long. */
  static boolean areNeededFor(Duration expectedDuration) {
    return expectedDuration.compareTo(MIN_DURATION) >= 0;
  }

  /**
   * Begins a round, and assigns this gateway its part of the free slots.
   *
   * @param waiting the waiting requests
   * @param freeSlots returns how many slots are free for an urgency
   */
  void assign(WaitingRequests waiting, ToIntFunction<Urgency> freeSlots) {
    claims.clear();
    releasedSlots = 0;
    waiting
        .queues()
        .forEach(
            (urgency, queue) -> {
              if (!queue.isEmpty()) {
                int atPeers = waiting.countAtPeers(urgency);
                assign(urgency, freeSlots.applyAsInt(urgency), queue.size(), atPeers);
              }
            });
  }

  /**
   * Assigns this gateway its part of the free slots, in proportion to the waiting requests. A
   * fraction of a slot is assigned at random, so that all gateways together take the right number.
   */
  private void assign(Urgency urgency, int freeSlots, int waiting, int waitingAtPeers) {
    double share = (double) freeSlots * waiting / (waiting + waitingAtPeers);
    int slots = (int) Math.floor(share * SHARE_PER_ROUND + random.nextDouble());
    if (freeSlots > 0 && slots > 0) {
      claims.put(urgency, slots);
    }
  }

  /** Records that a request of this gateway has left a slot, which peers don't know yet. */
  void recordRelease() {
    releasedSlots++;
  }

  /** Returns whether a waiting request may take a slot. */
  boolean mayStart(Urgency urgency) {
    return releasedSlots > 0 || claims.containsKey(urgency);
  }

  void recordStart(Urgency urgency) {
    if (claims.containsKey(urgency)) {
      claims.computeIfPresent(urgency, (key, slots) -> slots > 1 ? slots - 1 : null);
    } else if (releasedSlots > 0) {
      releasedSlots--;
    }
  }
}
