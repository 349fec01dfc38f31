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

/** Guards against requests that wait behind those of an account that sends many times its share. */
class FairShareTest {

  private static final int SLOTS = 4;

  private final RecordedDecisions decisions = new RecordedDecisions();
  private final PoolScheduler scheduler =
      new PoolScheduler(SchedulingLimits.DEFAULTS, decisions, new SplittableRandom(1));

  private static Duration millis(long value) {
    return Duration.ofMillis(value);
  }

  private void applyPeerLoad(int running) {
    scheduler.applyPeerLoad(Map.of("a", running), new TreeMap<>(), millis(1));
  }

  private void submit(String id, String account, int routeRank) {
    PlacementRequest request =
        new PlacementRequest(
            id,
            new Urgency(0, routeRank),
            millis(1),
            millis(1001),
            millis(1001),
            100,
            10,
            millis(10_000));
    request.assignAccount(account);
    scheduler.submit(request, millis(1));
  }

  private void register() {
    Endpoint address = new Endpoint("10.0.0.1", 1);
    scheduler.applyServers(
        List.of(new BackendServer("a", "pool", address, "fd", SLOTS, false, 0)), millis(0));
    scheduler.applyAccountsOverShare(Set.of("large"));
  }

  @Test
  void requestGoesAheadOfThoseOfAnAccountOverItsShare() {
    register();
    applyPeerLoad(SLOTS);
    submit("many", "large", 1);
    submit("few", "small", 1);
    applyPeerLoad(SLOTS - 2);
    assertThat(decisions.servers).containsOnlyKeys("few");
  }

  /** The slot is left for requests that wait at any gateway. */
  @Test
  void accountOverItsShareLeavesASlotFreeForOthers() {
    register();
    applyPeerLoad(SLOTS - 2);
    submit("many", "large", 1);
    assertThat(decisions.servers).isEmpty();
    applyPeerLoad(SLOTS - 3);
    assertThat(decisions.servers).containsOnlyKeys("many");
  }

  @Test
  void rankComesBeforeShare() {
    register();
    applyPeerLoad(SLOTS + 2);
    submit("less urgent", "small", 1);
    submit("many", "large", 0);
    applyPeerLoad(SLOTS - 2);
    assertThat(decisions.servers.keySet()).first().isEqualTo("many");
  }

  /** One account sends two fifths of a load that is too high by half. */
  @Test
  void accountsWithinTheirShareAreServedMoreOftenInABurstOfAnother() {
    List<Kind> kinds =
        List.of(
            new Kind(0, 64, 6670, 38, 619, 2176, 2476, 10_324),
            new Kind(1, 210, 688, 29, 408, 408, 2400, 10_199),
            new Kind(2, 155, 1860, 2, 410, 410, 2000, 2560));
    List<Burst> bursts = kinds.stream().map(k -> new Burst(k.rank(), 1.6, 2000, 8000)).toList();
    SimulatedPool pool =
        new SimulatedPool(24, 31, 9, List.of(1.3), 2000, 8000, 1).withLargeAccount(0.4);
    Tally all = pool.play(kinds, bursts, 20_000).get(1);
    Tally others = pool.talliesOfOthers().get(1);
    double shareOfAll = (double) all.inTime() / all.asked();
    double shareOfOthers = (double) others.inTime() / others.asked();
    assertThat(shareOfOthers).as("%s; others %s", all, others).isGreaterThan(1.1 * shareOfAll);
  }
}
