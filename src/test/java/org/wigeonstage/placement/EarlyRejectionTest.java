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
 * Guards against rejections that come after a whole objective, callers that all return at the same
 * time, and returning callers that wait behind new ones until their time is over.
 */
class EarlyRejectionTest {

  private static final Duration OBJECTIVE = Duration.ofMillis(400);

  private final RecordedDecisions decisions = new RecordedDecisions();
  private final PoolScheduler scheduler =
      new PoolScheduler(SchedulingLimits.DEFAULTS, decisions, new SplittableRandom(1));

  private static Duration millis(long value) {
    return Duration.ofMillis(value);
  }

  private void registerFullServer() {
    Endpoint address = new Endpoint("10.0.0.1", 1);
    scheduler.applyServers(
        List.of(new BackendServer("a", "pool", address, "fd", 4, false, 0)), Duration.ZERO);
    scheduler.applyPeerLoad(Map.of("a", 6), new TreeMap<>(), Duration.ZERO);
  }

  private static PlacementRequest request(String id, int routeRank, long at, long deadline) {
    return new PlacementRequest(
        id,
        new Urgency(0, routeRank),
        millis(at),
        millis(at).plus(OBJECTIVE),
        millis(at).plus(OBJECTIVE),
        100,
        10,
        millis(deadline));
  }

  @Test
  void requestIsRejectedAfterItsTimeInTheQueue() {
    registerFullServer();
    PlacementRequest request = request("r", 1, 0, 10_000);
    request.limitQueueTime(OBJECTIVE.dividedBy(8));
    scheduler.submit(request, millis(0));
    scheduler.tick(millis(40));
    assertThat(decisions.refusals).isEmpty();
    scheduler.tick(millis(60));
    assertThat(decisions.refusals).containsEntry("r", RefusalReason.WAITED_TOO_LONG);
  }

  @Test
  void delayOfTheProcessDoesNotCountAsTimeInTheQueue() {
    registerFullServer();
    PlacementRequest request = request("r", 1, 0, 10_000);
    request.limitQueueTime(OBJECTIVE.dividedBy(8));
    scheduler.submit(request, millis(0));
    scheduler.tick(millis(20));
    scheduler.recordProcessDelay(millis(20), millis(150));
    scheduler.recordProcessDelay(millis(20), millis(160));
    scheduler.tick(millis(160));
    assertThat(decisions.refusals).isEmpty();
    scheduler.tick(millis(200));
    assertThat(decisions.refusals).containsKey("r");
  }

  @Test
  void requestWithLessTimeLeftStartsBeforeNewOnesOfItsRank() {
    registerFullServer();
    scheduler.submit(request("new", 1, 100, 10_100), millis(100));
    scheduler.submit(request("returned", 1, 110, 9000), millis(110));
    scheduler.applyPeerLoad(Map.of("a", 2), new TreeMap<>(), millis(120));
    assertThat(decisions.servers).containsOnlyKeys("returned");
  }

  @Test
  void callersReturnSpreadOverTheirTimeTheMoreUrgentOnesFirst() {
    RetryAfter retryAfter = new RetryAfter(new SplittableRandom(1));
    List<Duration> urgent = new ArrayList<>();
    List<Duration> others = new ArrayList<>();
    retryAfter.of(request("first", 1, 0, 3000), Duration.ZERO, Duration.ZERO);
    retryAfter.of(request("second", 2, 0, 3000), Duration.ZERO, Duration.ZERO);
    for (int i = 0; i < 100; i++) {
      urgent.add(retryAfter.of(request("u", 1, 0, 3000), millis(100), Duration.ZERO));
      others.add(retryAfter.of(request("o", 2, 0, 3000), millis(100), Duration.ZERO));
    }
    assertThat(urgent).allMatch(delay -> delay.compareTo(millis(600)) <= 0);
    assertThat(others)
        .allMatch(delay -> delay.compareTo(millis(600)) >= 0)
        .allMatch(delay -> delay.compareTo(millis(1000)) <= 0)
        .anyMatch(delay -> delay.compareTo(millis(900)) > 0)
        .anyMatch(delay -> delay.compareTo(millis(700)) < 0);
  }
}
