package org.wigeonstage.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.http.Endpoint;

/**
 * Tests requests that end badly at each server, beside sound ones. The load pattern: one client
 * account sends requests that no server can serve; its neighbours must not lose servers by that.
 */
class FailingRequestsTest {

  private static final int SERVERS = 4;
  private static final int ROUNDS = 200;
  private static final long INTERVAL_MILLIS = 50;

  private final Map<String, String> started = new HashMap<>();
  private final Set<String> refused = new HashSet<>();
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
              refused.add(request.id());
            }
          },
          new SplittableRandom(1));

  private PlacementRequest submit(String id, Duration now) {
    PlacementRequest request =
        new PlacementRequest(
            id,
            new Urgency(0, 0),
            now,
            now.plusMillis(500),
            now.plusMillis(2000),
            100,
            10,
            now.plusSeconds(10));
    scheduler.submit(request, now);
    return request;
  }

  private void end(PlacementRequest request, AttemptResult result, Duration now) {
    String server = started.get(request.id());
    if (server != null) {
      scheduler.endAttempt(request, server, result, now);
    }
  }

  @ParameterizedTest
  @EnumSource(
      value = AttemptResult.class,
      names = {"FAILED", "NEUTRAL", "UNREACHABLE"})
  void requestsThatEndBadlyAtEachServerTakeNoServerOut(AttemptResult result) {
    scheduler.applyServers(
        IntStream.range(0, SERVERS)
            .mapToObj(
                i ->
                    new BackendServer(
                        "s" + i, "pool", new Endpoint("10.0.0." + (i + 1), 1), "fd", 4, false, 0))
            .toList(),
        Duration.ZERO);
    Set<String> serversOfSound = new HashSet<>();
    for (int i = 0; i < ROUNDS; i++) {
      Duration now = Duration.ofMillis(i * INTERVAL_MILLIS);
      scheduler.tick(now);
      for (String attempt : List.of("-first", "-second")) {
        end(submit("bad-" + i + attempt, now), result, now);
      }
      PlacementRequest sound = submit("sound-" + i, now);
      assertThat(started).as("round %s", i).containsKey("sound-" + i);
      scheduler.recordFirstPart(sound, started.get("sound-" + i), Duration.ofMillis(20));
      end(sound, AttemptResult.SERVED, now.plusMillis(40));
      if (i > ROUNDS / 2) {
        serversOfSound.add(started.get("sound-" + i));
      }
    }
    assertThat(refused).isEmpty();
    assertThat(serversOfSound).hasSize(SERVERS);
  }
}
