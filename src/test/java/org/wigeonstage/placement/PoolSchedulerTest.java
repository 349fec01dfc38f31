package org.wigeonstage.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.http.Endpoint;

/**
 * Tests the scheduler with the default limits. Unless a test says otherwise, requests have account
 * rank 0, and their first part is late 500 ms after they arrive; they are refused after 2 s.
 */
class PoolSchedulerTest {

  private final Map<String, String> started = new LinkedHashMap<>();
  private final Map<String, RefusalReason> refused = new LinkedHashMap<>();
  private final PoolScheduler scheduler =
      new PoolScheduler(
          SchedulingLimits.DEFAULTS,
          new PlacementEffects() {
            @Override
            public void start(
                PlacementRequest request, BackendServer server, ServerEstimate estimate) {
              started.put(request.id(), server.id());
            }

            @Override
            public void refuse(
                PlacementRequest request, RefusalReason reason, Duration retryAfter) {
              refused.put(request.id(), reason);
              assertThat(retryAfter).isPositive();
            }
          },
          new SplittableRandom(1));

  private static BackendServer server(String id, int slots, boolean isLeaving) {
    return new BackendServer(id, "pool", new Endpoint("10.0.0.1", 1), "fd", slots, isLeaving, 0);
  }

  private void register(BackendServer... servers) {
    scheduler.applyServers(List.of(servers), Duration.ZERO);
  }

  private static Duration millis(long value) {
    return Duration.ofMillis(value);
  }

  private static PlacementRequest request(String id, int routeRank, long atMillis) {
    return new PlacementRequest(
        id,
        new Urgency(0, routeRank),
        millis(atMillis),
        millis(atMillis + 500),
        millis(atMillis + 2000),
        100,
        10,
        millis(atMillis + 10_000));
  }

  private PlacementRequest submit(String id, int routeRank, long atMillis) {
    PlacementRequest request = request(id, routeRank, atMillis);
    scheduler.submit(request, millis(atMillis));
    return request;
  }

  @Test
  void refusesRequestWhenNoServerAcceptsRequests() {
    register(server("a", 4, true));
    submit("r", 0, 0);
    assertThat(refused).containsEntry("r", RefusalReason.NO_SERVER);
  }

  @Test
  void startsNoRequestOnLeavingServer() {
    register(server("a", 4, true), server("b", 4, false));
    for (int i = 0; i < 3; i++) {
      submit("r" + i, 1, 0);
    }
    assertThat(started.values()).containsOnly("b");
  }

  /**
   * A burst of less urgent requests must not occupy the slots reserved for more urgent ones: of 4
   * slots, a request leaves one free for each lower route rank, and a server gets up to two of
   * route rank 0 beyond its slots.
   */
  @Test
  void leavesSlotsFreeForMoreUrgentRequests() {
    register(server("a", 4, false));
    for (int i = 0; i < 6; i++) {
      submit("low" + i, 2, 0);
    }
    assertThat(started).hasSize(2);
    submit("middle", 1, 1);
    assertThat(started).containsKey("middle");
    for (int i = 0; i < 4; i++) {
      submit("high" + i, 0, 2);
    }
    assertThat(started).containsKeys("high0", "high1", "high2").doesNotContainKey("high3");
  }

  @Test
  void startsMostUrgentRequestWhenSlotBecomesFree() {
    register(server("a", 1, false));
    PlacementRequest first = submit("first", 1, 0);
    submit("low", 2, 1);
    submit("middle", 1, 2);
    scheduler.endAttempt(first, "a", AttemptResult.SERVED, millis(10));
    assertThat(started.keySet()).containsExactly("first", "middle");
  }

  @Test
  void startsRequestThatCanBeOnTimeBeforeLateOne() {
    register(server("a", 1, false));
    PlacementRequest first = submit("first", 1, 0);
    submit("late", 1, 1);
    submit("fresh", 1, 900);
    scheduler.endAttempt(first, "a", AttemptResult.SERVED, millis(1000));
    assertThat(started.keySet()).containsExactly("first", "fresh");
  }

  /**
   * Guards against wasting a slot in a burst: all servers are slow, and a request that has waited
   * for long would receive its first part late.
   */
  @Test
  void startsFreshRequestBeforeOneThatSlowServerWouldMakeLate() {
    register(server("a", 1, false));
    PlacementRequest first = submit("first", 1, 0);
    for (int i = 0; i < 30; i++) {
      scheduler.recordFirstPart(first, "a", millis(400));
      scheduler.endAttempt(first, "a", AttemptResult.SERVED, millis(i));
      first = submit("next" + i, 1, i);
    }
    submit("waited", 1, 100);
    submit("fresh", 1, 290);
    started.clear();
    scheduler.recordFirstPart(first, "a", millis(400));
    scheduler.endAttempt(first, "a", AttemptResult.SERVED, millis(300));
    assertThat(started.keySet()).containsExactly("fresh");
  }

  @Test
  void leavesFreeSlotsToMoreUrgentRequestsAtPeers() {
    register(server("a", 4, false));
    scheduler.applyPeerLoad(Map.of(), new TreeMap<>(Map.of(new Urgency(0, 0), 3)), millis(0));
    submit("low", 1, 0);
    assertThat(started).isEmpty();
    scheduler.applyPeerLoad(Map.of(), new TreeMap<>(), millis(50));
    assertThat(started).containsKey("low");
  }

  /**
   * Guards against overloading a server when several gateways decide on the same load figures: the
   * requests of peers occupy slots, too.
   */
  @Test
  void countsRequestsOfPeersAgainstSlotsOfServer() {
    register(server("a", 4, false), server("b", 4, false));
    scheduler.applyPeerLoad(Map.of("a", 4, "b", 1), new TreeMap<>(), millis(0));
    submit("r1", 1, 0);
    submit("r2", 1, 0);
    submit("r3", 1, 0);
    assertThat(started).containsEntry("r1", "b").containsEntry("r2", "b").hasSize(2);
  }

  @Test
  void refusesWaitingRequestWhenNoSlotBecomesFreeInTime() {
    register(server("a", 1, false));
    submit("first", 1, 0);
    submit("second", 1, 1);
    scheduler.tick(millis(1990));
    assertThat(refused).isEmpty();
    scheduler.tick(millis(2001));
    assertThat(refused).containsExactly(Map.entry("second", RefusalReason.WAITED_TOO_LONG));
    assertThat(scheduler.waitingCount()).isZero();
  }

  @Test
  void refusesRequestImmediatelyWhenQueueIsTooLong() {
    register(server("a", 1, false));
    submit("first", 1, 0);
    submit("waiting0", 1, 1);
    for (int i = 1; i < 5; i++) {
      submit("waiting" + i, 1, 600);
    }
    assertThat(refused.values()).contains(RefusalReason.QUEUE_TOO_LONG);
    assertThat(refused).doesNotContainKey("waiting0");
  }

  @Test
  void startsMoreUrgentRequestDespiteLongQueueOfLessUrgentOnes() {
    register(server("a", 2, false));
    for (int i = 0; i < 20; i++) {
      submit("low" + i, 2, 0);
    }
    submit("high", 0, 1);
    assertThat(refused).doesNotContainKey("high");
    assertThat(started).containsKey("high");
  }

  @Test
  void avoidsUnreachableServerUnlessAllAreUnreachable() {
    register(server("a", 4, false), server("b", 4, false));
    PlacementRequest first = submit("first", 0, 0);
    String lost = started.get("first");
    scheduler.endAttempt(first, lost, AttemptResult.UNREACHABLE, millis(1));
    for (int i = 0; i < 4; i++) {
      submit("r" + i, 0, 2);
    }
    assertThat(new ArrayList<>(started.values()).subList(1, 5)).doesNotContain(lost);
    PlacementRequest second = request("second", 0, 3);
    String other = lost.equals("a") ? "b" : "a";
    scheduler.endAttempt(second, other, AttemptResult.UNREACHABLE, millis(3));
    submit("last", 0, 4);
    assertThat(started).containsKey("last");
  }

  /** A quarter of the servers fails some of its requests although all health checks succeed. */
  @Test
  void startsFewerRequestsOnFailingServer() {
    register(server("a", 100, false), server("b", 100, false));
    int startedOnA = 0;
    for (int i = 0; i < 200; i++) {
      PlacementRequest request = submit("r" + i, 1, i);
      String server = started.get(request.id());
      boolean fails = server.equals("a") && i % 2 == 0;
      startedOnA += server.equals("a") ? 1 : 0;
      scheduler.endAttempt(
          request, server, fails ? AttemptResult.FAILED : AttemptResult.SERVED, millis(i));
    }
    assertThat(startedOnA).isLessThan(60);
  }

  @Test
  void prefersServerWithShorterEventGaps() {
    register(server("slow", 10, false), server("fast", 10, false));
    for (int i = 0; i < 40; i++) {
      scheduler.recordEventGap("slow", millis(80));
      scheduler.recordEventGap("fast", millis(10));
    }
    for (int i = 0; i < 5; i++) {
      PlacementRequest largeRequest =
          new PlacementRequest(
              "large" + i,
              new Urgency(0, 0),
              millis(0),
              millis(500),
              millis(2000),
              8000,
              100,
              millis(5000));
      scheduler.submit(largeRequest, millis(0));
    }
    assertThat(started.values()).containsOnly("fast");
  }

  @Test
  void startsFailedRequestOnAnotherServer() {
    register(server("a", 4, false), server("b", 4, false));
    PlacementRequest request = submit("r", 0, 0);
    String first = started.get("r");
    scheduler.endAttempt(request, first, AttemptResult.FAILED, millis(5));
    scheduler.submit(request, millis(5));
    assertThat(started.get("r")).isNotEqualTo(first);
  }

  /** A server joins a pool whose servers have been measured as fast. */
  @Test
  void startsRequestOnNewServerWithoutMeasurements() {
    register(server("a", 100, false));
    for (int i = 0; i < 50; i++) {
      PlacementRequest request = submit("r" + i, 1, i);
      scheduler.recordFirstPart(request, "a", millis(12));
      scheduler.endAttempt(request, "a", AttemptResult.SERVED, millis(i));
    }
    register(server("a", 100, false), server("b", 100, false));
    submit("new", 1, 60);
    assertThat(started).containsEntry("new", "b");
  }

  /** A server is slow for a while, and then as fast as the other one. */
  @Test
  void startsRequestsAgainOnServerAfterSlowPhase() {
    register(server("a", 100, false), server("b", 100, false));
    PlacementRequest slow = submit("slow", 1, 0);
    String slowServer = started.get("slow");
    scheduler.recordFirstPart(slow, slowServer, millis(900));
    scheduler.endAttempt(slow, slowServer, AttemptResult.SERVED, millis(900));
    PlacementRequest next = submit("next", 1, 901);
    assertThat(started.get("next")).isNotEqualTo(slowServer);
    String other = started.get("next");
    scheduler.recordFirstPart(next, other, millis(40));
    scheduler.endAttempt(next, other, AttemptResult.SERVED, millis(950));
    for (int second = 1; second < 60; second++) {
      scheduler.tick(Duration.ofSeconds(second));
      PlacementRequest steady = request("steady" + second, 1, second * 1000L);
      scheduler.recordFirstPart(steady, other, millis(40));
    }
    submit("later", 1, 60_000);
    submit("later2", 1, 60_000);
    assertThat(List.of(started.get("later"), started.get("later2"))).contains(slowServer);
  }

  /**
   * Guards against refusing a stream because of its original time limit: a server is lost with
   * streams that have run for longer than callers wait for a first part.
   */
  @Test
  void resumesStreamWhoseOriginalStartLimitHasPassed() {
    register(server("a", 1, false), server("b", 1, false));
    PlacementRequest stream = submit("stream", 0, 0);
    String lost = started.get("stream");
    scheduler.endAttempt(stream, lost, AttemptResult.UNREACHABLE, millis(9000));
    scheduler.submit(stream.resumed(millis(9000), millis(400), millis(1700)), millis(9000));
    assertThat(refused).isEmpty();
    assertThat(started.get("stream")).isNotEqualTo(lost);
  }

  /** Right after the process has started, the rate at which slots become free is unknown. */
  @Test
  void refusesNoRequestBeforeStartRateIsMeasured() {
    register(server("a", 1, false));
    submit("first", 1, 0);
    for (int i = 0; i < 20; i++) {
      submit("waiting" + i, 1, 100);
    }
    assertThat(refused).isEmpty();
  }

  /** Batch requests wait while urgent requests take every slot that becomes free. */
  @Test
  void refusesWaitingRequestsEarlyThatWillNotStartInTime() {
    register(server("a", 4, false));
    List<PlacementRequest> running = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      running.add(submit("first" + i, 0, 0));
    }
    for (int i = 0; i < 20; i++) {
      submit("batch" + i, 2, 0);
    }
    for (int nowMillis = 100; nowMillis <= 1000; nowMillis += 100) {
      running.add(submit("urgent" + nowMillis, 0, nowMillis));
      scheduler.endAttempt(running.remove(0), "a", AttemptResult.SERVED, millis(nowMillis));
      scheduler.tick(millis(nowMillis));
    }
    assertThat(refused).containsKeys("batch19", "batch10").doesNotContainKey("batch0");
    assertThat(refused.keySet()).noneMatch(id -> id.startsWith("urgent"));
  }

  /**
   * Guards against refusing an interrupted stream early because of a long queue: its caller already
   * has the first part of the response.
   */
  @Test
  void keepsResumedRequestWaitingUntilItsStartLimit() {
    register(server("a", 1, false), server("b", 1, false));
    PlacementRequest stream = submit("stream", 0, 0);
    submit("other", 0, 0);
    for (int i = 0; i < 20; i++) {
      submit("waiting" + i, 0, 0);
    }
    scheduler.endAttempt(stream, started.get("stream"), AttemptResult.UNREACHABLE, millis(1000));
    PlacementRequest resumed = stream.resumed(millis(1000), millis(400), millis(1700));
    scheduler.submit(resumed, millis(1000));
    for (int nowMillis = 1000; nowMillis < 2700; nowMillis += 100) {
      scheduler.tick(millis(nowMillis));
    }
    assertThat(refused).doesNotContainKey("stream");
    scheduler.tick(millis(2700));
    assertThat(refused).containsEntry("stream", RefusalReason.WAITED_TOO_LONG);
  }

  @Test
  void keepsWaitingRequestsThatCanStillStartInTime() {
    register(server("a", 4, false));
    List<PlacementRequest> running = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      running.add(submit("r" + i, 0, 0));
    }
    for (int nowMillis = 300; nowMillis <= 1500; nowMillis += 300) {
      scheduler.endAttempt(running.remove(0), "a", AttemptResult.SERVED, millis(nowMillis));
      scheduler.tick(millis(nowMillis));
    }
    assertThat(refused).isEmpty();
  }

  /**
   * A server has crashed, and another one listens at its address before the registration expires.
   * The other one declines each request immediately, so the address appears idle while all other
   * servers are full.
   */
  @Test
  void startsNoRequestAtAddressTakenOverByAnotherServer() {
    register(server("a", 1, false), server("b", 1, false));
    PlacementRequest onA = submit("first", 0, 0);
    PlacementRequest onB = submit("second", 0, 0);
    String crashed = started.get("first");
    scheduler.endAttempt(onA, crashed, AttemptResult.REPLACED, millis(10));
    for (int i = 0; i < 8; i++) {
      submit("next" + i, 0, 5000);
    }
    assertThat(started).hasSize(4);
    assertThat(started.entrySet().stream().skip(2))
        .noneMatch(entry -> entry.getValue().equals(crashed));
    scheduler.endAttempt(onB, started.get("second"), AttemptResult.SERVED, millis(5010));
    assertThat(started).containsKey("next2");
  }

  @Test
  void refusesRequestWhenAllServersWereReplaced() {
    register(server("a", 1, false));
    PlacementRequest first = submit("first", 0, 0);
    scheduler.endAttempt(first, "a", AttemptResult.REPLACED, millis(10));
    submit("second", 0, 20);
    assertThat(refused).containsEntry("second", RefusalReason.NO_SERVER);
  }

  /** A full server declines immediately, and has a free slot only when one of its requests ends. */
  @Test
  void avoidsDecliningServerForShortBackoff() {
    register(server("a", 4, false), server("b", 4, false));
    PlacementRequest first = submit("first", 0, 0);
    String declining = started.get("first");
    scheduler.endAttempt(first, declining, AttemptResult.DECLINED, millis(1));
    for (int i = 0; i < 4; i++) {
      submit("next" + i, 0, 20);
    }
    assertThat(started.entrySet().stream().skip(1))
        .noneMatch(entry -> entry.getValue().equals(declining));
    for (int i = 0; i < 4; i++) {
      submit("later" + i, 0, 60);
    }
    assertThat(started.entrySet().stream().skip(5))
        .anyMatch(entry -> entry.getValue().equals(declining));
    assertThat(scheduler.isSuspect(declining, millis(20))).isFalse();
  }

  /**
   * An attempt on an unresponsive server is abandoned only if the request is expected to start on
   * another server.
   */
  @Test
  void canStartOnAnotherServerOnlyIfItIsUntriedAndNotSuspect() {
    register(server("a", 1, false));
    PlacementRequest request = submit("r", 1, 0);
    assertThat(scheduler.canStartOnAnotherServer(request, millis(2000), millis(500))).isFalse();
    register(server("a", 1, false), server("b", 1, true));
    assertThat(scheduler.canStartOnAnotherServer(request, millis(2000), millis(500))).isFalse();
    register(server("a", 1, false), server("b", 1, false));
    assertThat(scheduler.canStartOnAnotherServer(request, millis(2000), millis(500))).isTrue();
    scheduler.markSuspect("b", millis(500));
    assertThat(scheduler.canStartOnAnotherServer(request, millis(2000), millis(600))).isFalse();
  }

  /** After the latest useful start, waiting is pointless, so only a free slot counts. */
  @Test
  void canStartOnAnotherServerAfterLatestUsefulStartOnlyInFreeSlot() {
    register(server("a", 1, false), server("b", 1, false));
    PlacementRequest request = submit("r", 1, 0);
    assertThat(scheduler.canStartOnAnotherServer(request, millis(2000), millis(2100))).isTrue();
    submit("other", 1, 0);
    assertThat(started).containsKey("other");
    assertThat(scheduler.canStartOnAnotherServer(request, millis(2000), millis(2100))).isFalse();
    assertThat(scheduler.canStartOnAnotherServer(request, millis(3000), millis(2100))).isTrue();
  }

  /**
   * The last server of a pool leaves or is lost, and another one registers while the caller waits.
   */
  @Test
  void keepsStartedStreamWaitingWhileNoServerAcceptsRequests() {
    register(server("a", 1, false));
    PlacementRequest stream = submit("stream", 0, 0);
    register(server("a", 1, true));
    PlacementRequest resumed = stream.resumed(millis(1000), millis(400), millis(1700));
    scheduler.submit(resumed, millis(1000));
    scheduler.tick(millis(1500));
    assertThat(refused).isEmpty();
    started.clear();
    scheduler.applyServers(List.of(server("b", 1, false)), millis(1600));
    assertThat(started).containsEntry("stream", "b");
  }
}
