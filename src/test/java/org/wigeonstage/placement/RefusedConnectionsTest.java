package org.wigeonstage.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.http.Endpoint;

/**
 * Replays a pool whose servers all refuse connections. The load pattern: requests that wait for a
 * server are placed, refused at once and submitted again, which must not occupy the gateway.
 */
class RefusedConnectionsTest {

  private static final int SERVERS = 4;
  private static final int SLOTS = 14;
  private static final long ARRIVAL_INTERVAL_MILLIS = 20;
  private static final long PATIENCE_MILLIS = 1400;
  private static final long TICK_MILLIS = 20;
  private static final long REFUSING_MILLIS = 3000;
  private static final long RUN_MILLIS = 40;

  /** A server is tried by one request in each pause. */
  private static final long MIN_PAUSE_MILLIS = 50;

  private static final long MAX_PAUSE_MILLIS = 400;

  private final Map<PlacementRequest, String> serverByRunning = new HashMap<>();
  private final Map<PlacementRequest, Long> endsAt = new HashMap<>();
  private final List<Long> attemptTimes = new ArrayList<>();
  private final List<Long> servedTimes = new ArrayList<>();
  private long now;
  private final PoolScheduler scheduler =
      new PoolScheduler(
          SchedulingLimits.DEFAULTS,
          new PlacementEffects() {
            @Override
            public void start(
                PlacementRequest request, BackendServer server, ServerEstimate estimate) {
              serverByRunning.put(request, server.id());
              endsAt.put(request, now + (now < REFUSING_MILLIS ? 1 : RUN_MILLIS));
              attemptTimes.add(now);
            }

            @Override
            public void refuse(
                PlacementRequest request, RefusalReason reason, Duration retryAfter) {}
          },
          new SplittableRandom(1));

  private void replay(long untilMillis) {
    scheduler.applyServers(
        IntStream.range(0, SERVERS)
            .mapToObj(
                i ->
                    new BackendServer(
                        "s" + i, "pool", new Endpoint("10.0.0.1", 1 + i), "fd", SLOTS, false, 0))
            .toList(),
        Duration.ZERO);
    for (now = 0; now < untilMillis; now++) {
      endDue();
      if (now % TICK_MILLIS == 0) {
        scheduler.tick(Duration.ofMillis(now));
      }
      if (now % ARRIVAL_INTERVAL_MILLIS == 0) {
        scheduler.submit(request(), Duration.ofMillis(now));
      }
    }
  }

  private PlacementRequest request() {
    return new PlacementRequest(
        "r" + now,
        new Urgency(0, 1),
        Duration.ofMillis(now),
        Duration.ofMillis(now + PATIENCE_MILLIS),
        Duration.ofMillis(now + PATIENCE_MILLIS),
        0,
        0,
        Duration.ofMillis(now + PATIENCE_MILLIS));
  }

  private void endDue() {
    for (PlacementRequest request : List.copyOf(endsAt.keySet())) {
      if (endsAt.get(request) <= now) {
        endsAt.remove(request);
        String server = serverByRunning.remove(request);
        if (now <= REFUSING_MILLIS) {
          scheduler.endAttempt(
              request, server, AttemptResult.NOT_CONNECTED, Duration.ofMillis(now));
          scheduler.submit(request, Duration.ofMillis(now));
        } else {
          servedTimes.add(now);
          scheduler.recordFirstPart(request, server, Duration.ofMillis(RUN_MILLIS));
          scheduler.endAttempt(request, server, AttemptResult.SERVED, Duration.ofMillis(now));
        }
      }
    }
  }

  @Test
  void serverThatRefusesConnectionsIsTriedByOneRequestInEachPause() {
    replay(REFUSING_MILLIS);
    assertThat(attemptTimes)
        .hasSizeLessThanOrEqualTo((int) (SERVERS * (SLOTS + REFUSING_MILLIS / MIN_PAUSE_MILLIS)));
    assertThat(attemptTimes.stream().filter(time -> time > REFUSING_MILLIS / 2).count())
        .isBetween(1L, SERVERS * (1 + REFUSING_MILLIS / 2 / MAX_PAUSE_MILLIS));
  }

  @Test
  void serversThatAcceptConnectionsAgainAreUsedAfterOnePause() {
    replay(REFUSING_MILLIS + 2000);
    assertThat(servedTimes.get(0))
        .isLessThanOrEqualTo(REFUSING_MILLIS + MAX_PAUSE_MILLIS + RUN_MILLIS + 1);
    assertThat(servedTimes.stream().filter(time -> time > REFUSING_MILLIS + 1000).count())
        .isGreaterThanOrEqualTo(1000 / ARRIVAL_INTERVAL_MILLIS - 5);
  }
}
