package org.wigeonstage.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.http.Endpoint;

/**
 * Guards against starting requests of many gateways in one slot that all of them see becoming free.
 */
class CrowdedSlotsTest {

  private static final int GATEWAYS = 20;
  private static final int SLOTS = 8;
  private static final int TRIALS = 50;

  /** For how many updates a slot that a peer has taken still looks free. */
  private static final int ROUNDS_UNTIL_KNOWN = 4;

  private static final Urgency URGENCY = new Urgency(0, 1);

  private final RecordedDecisions decisions = new RecordedDecisions();

  private PoolScheduler scheduler(long seed) {
    PoolScheduler scheduler =
        new PoolScheduler(SchedulingLimits.DEFAULTS, decisions, new SplittableRandom(seed));
    scheduler.applyServers(
        List.of(new BackendServer("a", "pool", new Endpoint("10.0.0.1", 1), "fd", SLOTS, false, 0)),
        Duration.ZERO);
    return scheduler;
  }

  private static PlacementRequest request(String id) {
    return request(id, 50);
  }

  private static PlacementRequest request(String id, int events) {
    return new PlacementRequest(
        id,
        URGENCY,
        Duration.ZERO,
        Duration.ofSeconds(1),
        Duration.ofSeconds(1),
        100,
        events,
        Duration.ofSeconds(10));
  }

  /** Applies that requests of peers occupy the slots of rank 1 but for some, and that some wait. */
  private static void applyPeerLoad(PoolScheduler scheduler, int freeSlots, int waiting) {
    scheduler.applyPeerLoad(
        Map.of("a", SLOTS - 1 - freeSlots),
        new TreeMap<>(Map.of(URGENCY, waiting)),
        Duration.ofMillis(1));
  }

  @Test
  void allGatewaysTogetherStartAboutOneRequestInOneFreeSlot() {
    for (int trial = 0; trial < TRIALS; trial++) {
      List<PoolScheduler> schedulers = new ArrayList<>();
      for (int i = 0; i < GATEWAYS; i++) {
        PoolScheduler scheduler = scheduler(trial * GATEWAYS + i);
        applyPeerLoad(scheduler, 0, GATEWAYS - 1);
        scheduler.submit(request("r" + i + " of " + trial), Duration.ofMillis(1));
        schedulers.add(scheduler);
      }
      for (int round = 0; round < ROUNDS_UNTIL_KNOWN; round++) {
        schedulers.forEach(scheduler -> applyPeerLoad(scheduler, 1, GATEWAYS - 1));
      }
    }
    assertThat(decisions.servers).hasSizeBetween(TRIALS / 2, TRIALS * 3 / 2);
  }

  @Test
  void gatewayStartsWaitingRequestInSlotThatItsOwnRequestLeft() {
    PoolScheduler scheduler = scheduler(1);
    applyPeerLoad(scheduler, 1, 0);
    PlacementRequest first = request("first");
    scheduler.submit(first, Duration.ofMillis(1));
    applyPeerLoad(scheduler, 1, GATEWAYS);
    scheduler.submit(request("second"), Duration.ofMillis(1));
    assertThat(decisions.servers).hasSize(1);
    scheduler.endAttempt(first, "a", AttemptResult.SERVED, Duration.ofMillis(2));
    assertThat(decisions.servers).hasSize(2);
  }

  @Test
  void gatewayStartsRequestAtOnceWhileMoreSlotsAreFreeThanRequestsWait() {
    PoolScheduler scheduler = scheduler(1);
    applyPeerLoad(scheduler, 5, 4);
    scheduler.submit(request("r"), Duration.ofMillis(1));
    assertThat(decisions.servers).hasSize(1);
  }

  /** Plain requests of 60 ms: a slot that is kept free until it is claimed could have run one. */
  @Test
  void gatewayStartsShortRequestAtOnceAlthoughPeersWaitForTheSlot() {
    PoolScheduler scheduler = scheduler(1);
    applyPeerLoad(scheduler, 1, GATEWAYS);
    scheduler.submit(request("short", 0), Duration.ofMillis(1));
    assertThat(decisions.servers).hasSize(1);
  }
}
