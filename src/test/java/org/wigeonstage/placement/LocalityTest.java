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

/**
 * Guards against bytes between failure domains that save nothing, and against waits to avoid them.
 */
class LocalityTest {

  private static final int SLOTS = 10;
  private static final int REQUESTS = 20;

  private final RecordedDecisions decisions = new RecordedDecisions();

  private PoolScheduler scheduler(Locality locality, int runningNear) {
    PoolScheduler scheduler =
        new PoolScheduler(SchedulingLimits.DEFAULTS, decisions, new SplittableRandom(1), locality);
    scheduler.applyServers(List.of(server("near", "a"), server("far", "b")), Duration.ZERO);
    scheduler.applyPeerLoad(Map.of("near", runningNear), new TreeMap<>(), Duration.ZERO);
    return scheduler;
  }

  private static BackendServer server(String id, String failureDomain) {
    return new BackendServer(
        id, "pool", new Endpoint("10.0.0.1", id.length()), failureDomain, SLOTS, false, 0);
  }

  private static void submit(PoolScheduler scheduler) {
    for (int i = 0; i < REQUESTS; i++) {
      PlacementRequest request =
          new PlacementRequest(
              "r" + i,
              new Urgency(0, 1),
              Duration.ZERO,
              Duration.ofSeconds(1),
              Duration.ofSeconds(1),
              100,
              10,
              Duration.ofSeconds(10));
      scheduler.submit(request, Duration.ZERO);
      scheduler.endAttempt(request, "near", AttemptResult.NEUTRAL, Duration.ZERO);
      scheduler.endAttempt(request, "far", AttemptResult.NEUTRAL, Duration.ZERO);
    }
  }

  @Test
  void nearServerIsPreferredUpToTheCostOfCrossing() {
    submit(scheduler(new Locality("a", Duration.ofMillis(30)), 5));
    assertThat(decisions.servers.values()).hasSize(REQUESTS).containsOnly("near");
  }

  @Test
  void farServerIsUsedIfTheDelayAtTheNearOneCostsMore() {
    submit(scheduler(new Locality("a", Duration.ofMillis(2)), 8));
    assertThat(decisions.servers.values()).hasSize(REQUESTS).containsOnly("far");
  }

  @Test
  void farServerIsUsedAtOnceIfNoNearSlotIsFree() {
    submit(scheduler(new Locality("a", Duration.ofSeconds(5)), SLOTS));
    assertThat(decisions.servers.values()).hasSize(REQUESTS).containsOnly("far");
  }

  @Test
  void failureDomainsMakeNoDifferenceWithoutACost() {
    submit(scheduler(Locality.NONE, 0));
    assertThat(decisions.servers.values()).contains("near", "far");
  }
}
