package org.wigeonstage.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.placement.SimulatedPool.Burst;
import org.wigeonstage.placement.SimulatedPool.Kind;
import org.wigeonstage.routes.PoolDefinition;

/**
 * Guards against rejecting requests for a long queue while the servers of a small pool have free
 * slots: because slots are kept for ranks that never use the pool, or because this process is late.
 */
class SmallPoolTest {

  private static final Set<Integer> PLAIN_RANKS = Set.of(3, 4);
  private static final int SLOTS = 6;

  private final RecordedDecisions decisions = new RecordedDecisions();
  private final PoolScheduler scheduler =
      new PoolScheduler(SchedulingLimits.DEFAULTS, decisions, new SplittableRandom(1));

  private static Duration millis(long value) {
    return Duration.ofMillis(value);
  }

  private void register() {
    Endpoint address = new Endpoint("10.0.0.1", 1);
    scheduler.applyServers(
        List.of(new BackendServer("a", "pool", address, "fd", SLOTS, false, 0)), Duration.ZERO);
  }

  private static PlacementRequest request(String id, int routeRank, long at) {
    return new PlacementRequest(
        id,
        new Urgency(0, routeRank),
        millis(at),
        millis(at + 150),
        millis(at + 300),
        0,
        0,
        millis(at + 600));
  }

  private static Kind plain(int rank, double perSecond) {
    return new Kind(rank, perSecond, 20, 1, 149, 334, 634, 634);
  }

  /** The load of 18 slots and 24 gateways, and 2.5 times as much for two seconds. */
  @Test
  void rejectsNothingBelowTheCapacityOfThePool() {
    Map<Integer, Tally> tallies =
        new SimulatedPool(24, 3, SLOTS, List.of(1.0), 0, 6000, 1)
            .play(
                List.of(plain(3, 147), plain(4, 34)), List.of(new Burst(3, 2.5, 2000, 4000)), 8000);
    assertThat(tallies.values())
        .allSatisfy(tally -> assertThat(tally.rejections()).as("%s", tally).isZero())
        .allSatisfy(tally -> assertThat(tally.inTime()).isGreaterThan(tally.asked() * 98 / 100));
  }

  @Test
  void leavesNoSlotsFreeForRanksThatNeverUseThePool() {
    scheduler.applyDefinition(new PoolDefinition("pool", "/", 100, 0, 0, 0), PLAIN_RANKS);
    register();
    scheduler.applyPeerLoad(Map.of("a", SLOTS - 1), new TreeMap<>(), millis(1));
    scheduler.submit(request("less urgent", 4, 1), millis(1));
    scheduler.submit(request("most urgent", 3, 1), millis(1));
    assertThat(decisions.servers.keySet()).containsExactly("most urgent");
  }

  /** The server declines requests for 50 ms, and then this process doesn't run for 380 ms. */
  @Test
  void startsWhatWaitedForThisProcessInsteadOfRefusingIt() {
    register();
    PlacementRequest declined = request("declined", 0, 0);
    scheduler.submit(declined, millis(0));
    scheduler.endAttempt(declined, "a", AttemptResult.DECLINED, millis(1));
    scheduler.submit(request("waiting", 0, 2), millis(2));
    scheduler.tick(millis(20));
    assertThat(decisions.servers).containsOnlyKeys("declined");
    scheduler.recordProcessDelay(millis(20), millis(400));
    scheduler.tick(millis(400));
    assertThat(decisions.servers).containsOnlyKeys("declined", "waiting");
    assertThat(decisions.refusals).isEmpty();
  }
}
