package org.wigeonstage.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.http.Endpoint;

/**
 * Replays one of many gateways before an overloaded pool: twice as many requests arrive as can
 * start, and most slots are taken by the requests of peers, so that this gateway's queue is empty
 * again and again. Requests that can't start in time are to be refused at once, not after waiting.
 */
class OverloadedPoolTest {

  private static final int SERVERS = 10;
  private static final int SLOTS = 4;
  private static final long RUN_MILLIS = 400;
  private static final long PATIENCE_MILLIS = 400;
  private static final long ARRIVAL_INTERVAL_MILLIS = 40;
  private static final long REPORT_INTERVAL_MILLIS = 50;
  private static final long TICK_MILLIS = 20;
  private static final long WARM_UP_MILLIS = 3000;
  private static final long END_MILLIS = 33_000;

  /** Up to an eighth of its objective, a request may wait before it is refused. */
  private static final long MAX_FREE_WAIT_MILLIS = PATIENCE_MILLIS / 8;

  /** Some waits end late because the slots that were expected are taken by peers. */
  private static final double MAX_LATE_SHARE = 0.25;

  private final Map<PlacementRequest, String> running = new HashMap<>();
  private final Map<PlacementRequest, Long> endsAt = new HashMap<>();
  private long now;
  private int startedCount;
  private int refusedCount;
  private int refusedLateCount;

  private final class Effects implements PlacementEffects {

    @Override
    public void start(PlacementRequest request, BackendServer server, ServerEstimate estimate) {
      running.put(request, server.id());
      endsAt.put(request, now + RUN_MILLIS);
      startedCount += now >= WARM_UP_MILLIS ? 1 : 0;
    }

    @Override
    public void refuse(PlacementRequest request, RefusalReason reason, Duration retryAfter) {
      if (now >= WARM_UP_MILLIS) {
        long waited = now - request.arrivedAt().toMillis();
        refusedCount++;
        refusedLateCount += waited > MAX_FREE_WAIT_MILLIS ? 1 : 0;
      }
    }
  }

  private void replay(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    PoolScheduler scheduler =
        new PoolScheduler(SchedulingLimits.DEFAULTS, new Effects(), random.split());
    List<BackendServer> servers = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      servers.add(
          new BackendServer(
              "s" + i, "pool", new Endpoint("10.0.0.1", 1 + i), "fd", SLOTS, false, 0));
    }
    scheduler.applyServers(servers, Duration.ZERO);
    double nextArrival = 0;
    for (now = 0; now < END_MILLIS; now++) {
      endDue(scheduler);
      if (now % REPORT_INTERVAL_MILLIS == 0) {
        scheduler.applyPeerLoad(peerLoad(random), new TreeMap<>(), Duration.ofMillis(now));
      }
      if (now % TICK_MILLIS == 0) {
        scheduler.tick(Duration.ofMillis(now));
      }
      if (now >= nextArrival) {
        nextArrival = now - ARRIVAL_INTERVAL_MILLIS * Math.log(1 - random.nextDouble());
        scheduler.submit(request(), Duration.ofMillis(now));
      }
    }
  }

  private void endDue(PoolScheduler scheduler) {
    for (PlacementRequest request : List.copyOf(endsAt.keySet())) {
      if (endsAt.get(request) <= now) {
        endsAt.remove(request);
        scheduler.endAttempt(
            request, running.remove(request), AttemptResult.SERVED, Duration.ofMillis(now));
      }
    }
  }

  /** Peers leave about half of the slots free that this gateway would need. */
  private static Map<String, Integer> peerLoad(SplittableRandom random) {
    Map<String, Integer> load = new HashMap<>();
    for (int i = 0; i < SERVERS; i++) {
      load.put("s" + i, random.nextInt(8) == 0 ? SLOTS - 2 : SLOTS);
    }
    return load;
  }

  private PlacementRequest request() {
    return new PlacementRequest(
        "r" + now,
        new Urgency(0, 1),
        Duration.ofMillis(now),
        Duration.ofMillis(now + PATIENCE_MILLIS),
        Duration.ofMillis(now + PATIENCE_MILLIS),
        100,
        10,
        Duration.ofMillis(now + 10_000));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void requestsThatCannotStartInTimeAreRefusedAtOnce(long seed) {
    replay(seed);
    assertThat(refusedCount).isGreaterThan(startedCount / 4);
    assertThat((double) refusedLateCount / refusedCount).isLessThan(MAX_LATE_SHARE);
  }
}
