package org.wigeonstage.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.http.Endpoint;

/** Guards against refusing nearly all short requests of the lowest rank, for good. */
class RefusedShortRequestsTest {

  private final RecordedDecisions decisions = new RecordedDecisions();
  private final PoolScheduler scheduler =
      new PoolScheduler(SchedulingLimits.DEFAULTS, decisions, new SplittableRandom(1));

  private void register(int slots) {
    Endpoint address = new Endpoint("10.0.0.1", 1);
    scheduler.applyServers(
        List.of(new BackendServer("a", "pool", address, "fd", slots, false, 0)), Duration.ZERO);
  }

  private static Duration millis(long value) {
    return Duration.ofMillis(value);
  }

  private void submit(String id, int routeRank, int events, long at, long maxWait, long timeLimit) {
    scheduler.submit(
        new PlacementRequest(
            id,
            new Urgency(0, routeRank),
            millis(at),
            millis(at + 500),
            millis(at + maxWait),
            100,
            events,
            millis(at + timeLimit)),
        millis(at));
  }

  private void submitOrder(String id, long at) {
    submit(id, 1, 58, at, 2000, 10_000);
  }

  private void submitTag(String id, long at, long maxWait) {
    submit(id, 2, 2, at, maxWait, 2500);
  }

  /** One tag was refused, and no order yet. */
  @Test
  void startsShortRequestInSlotThatWaitingMoreUrgentOnesMayNotUse() {
    register(4);
    scheduler.applyPeerLoad(Map.of("a", 2), new TreeMap<>(), millis(0));
    submitOrder("order", 0);
    submitOrder("waitingOrder", 0);
    submitTag("refused", 0, 0);
    scheduler.tick(millis(1));
    submitTag("tag", 10, 2000);
    assertThat(decisions.servers.keySet()).containsExactly("order", "tag");
    submitOrder("secondOrder", 11);
    submitTag("secondTag", 12, 2000);
    assertThat(decisions.servers.keySet()).containsExactly("order", "tag");
  }

  /** A caller that returns later than that has too little time left to be served. */
  @Test
  void tellsCallerToReturnWithinAThirdOfItsRemainingTime() {
    register(1);
    submitOrder("first", 0);
    submitOrder("waiting", 1);
    submit("hurried", 1, 58, 600, 500, 1800);
    assertThat(decisions.refusals).containsEntry("hurried", RefusalReason.QUEUE_TOO_LONG);
    assertThat(decisions.retryAfters.get("hurried")).isLessThanOrEqualTo(millis(600));
  }
}
