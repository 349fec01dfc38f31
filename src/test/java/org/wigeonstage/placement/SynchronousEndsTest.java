package org.wigeonstage.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.http.Endpoint;

/**
 * Tests attempts that end while they are being started, as they do when no connection can be
 * opened. The load pattern: a long queue, each request of which frees its slot for the next one.
 */
class SynchronousEndsTest {

  /** More starts than fit on the stack of a thread if each one starts the next. */
  private static final int QUEUED = 10_000;

  /** The requests that run or wait at a server with one slot. */
  private static final int CAPACITY = 3;

  private static final Duration NOW = Duration.ofSeconds(1);

  private final List<PlacementRequest> started = new ArrayList<>();
  private boolean endsAtOnce;
  private final PoolScheduler scheduler =
      new PoolScheduler(
          SchedulingLimits.DEFAULTS,
          new PlacementEffects() {
            @Override
            public void start(
                PlacementRequest request, BackendServer server, ServerEstimate estimate) {
              started.add(request);
              if (endsAtOnce) {
                scheduler.endAttempt(request, server.id(), AttemptResult.NEUTRAL, NOW);
              }
            }

            @Override
            public void refuse(
                PlacementRequest request, RefusalReason reason, Duration retryAfter) {}
          },
          new SplittableRandom(1));

  private static PlacementRequest request(int number) {
    Duration late = Duration.ofDays(1);
    return new PlacementRequest("r" + number, new Urgency(0, 0), NOW, late, late, 10, 10, late);
  }

  @Test
  void longQueueOfAttemptsThatEndAtOnceIsStartedWithoutRecursion() {
    Endpoint address = new Endpoint("10.0.0.1", 1);
    scheduler.applyServers(
        List.of(new BackendServer("s", "pool", address, "fd", 1, false, 0)), NOW);
    for (int i = 0; i < CAPACITY + QUEUED; i++) {
      scheduler.submit(request(i), NOW);
    }
    assertThat(scheduler.waitingCount()).isEqualTo(QUEUED);
    endsAtOnce = true;
    scheduler.endAttempt(started.get(0), "s", AttemptResult.NEUTRAL, NOW);
    assertThat(started).hasSize(CAPACITY + QUEUED);
    assertThat(scheduler.runningByServer()).containsEntry("s", CAPACITY - 1);
  }
}
