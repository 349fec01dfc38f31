package org.wigeonstage.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.rollout.VersionFilter;
import org.wigeonstage.rollout.VersionRule;

/** Tests that requests are placed at the versions that the filter allows. */
class VersionPlacementTest {

  private static final Duration NOW = Duration.ofSeconds(1);
  private static final int SLOTS = 4;

  private final RecordedDecisions decisions = new RecordedDecisions();
  private final VersionFilter filter = new VersionFilter();
  private final PoolScheduler scheduler =
      new PoolScheduler(SchedulingLimits.DEFAULTS, decisions, new SplittableRandom(1));

  private VersionPlacementTest() {
    scheduler.setVersionFilter(filter);
    List<BackendServer> servers = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      servers.add(server("v1", i));
      servers.add(server("v2", i));
    }
    scheduler.applyServers(servers, NOW);
  }

  private static BackendServer server(String version, int number) {
    return new BackendServer(
        version + "-" + number,
        "pool",
        new Endpoint("10.0.0.1", 1),
        "fd",
        SLOTS,
        false,
        0,
        version);
  }

  private void applyRule(VersionRule.Mode mode, double share, String... excluded) {
    filter.apply(new VersionRule(mode, "v2", share, Set.of(excluded)), 0);
  }

  private PlacementRequest submit(int number) {
    PlacementRequest request =
        new PlacementRequest(
            "r" + number,
            new Urgency(0, 1),
            NOW,
            NOW.plusSeconds(1),
            NOW.plusSeconds(1),
            0,
            0,
            NOW.plusSeconds(10));
    filter.recordArrival();
    scheduler.submit(request, NOW);
    return request;
  }

  /** Submits requests that end at once, and returns the servers that got them. */
  private List<String> serversOf(int requests) {
    List<String> servers = new ArrayList<>();
    for (int i = 0; i < requests; i++) {
      PlacementRequest request = submit(i);
      String server = decisions.servers.getOrDefault(request.id(), "");
      servers.add(server);
      scheduler.endAttempt(request, server, AttemptResult.SERVED, NOW);
    }
    return servers;
  }

  /** Guards against a version that gets more than its share, or less because it seems slow. */
  @Test
  void targetVersionGetsItsShareOnFewServers() {
    applyRule(VersionRule.Mode.SHARE, 0.08);
    List<String> targets =
        serversOf(1000).stream().filter(server -> server.startsWith("v2")).toList();
    assertThat(targets).hasSizeBetween(79, 80);
    assertThat(Set.copyOf(targets)).hasSize(2);
  }

  /** Guards against a request that is sent beyond the step because all other slots are taken. */
  @Test
  void requestWaitsRatherThanExceedingTheStep() {
    applyRule(VersionRule.Mode.SHARE, 0);
    for (int i = 0; i < 50; i++) {
      submit(i);
    }
    assertThat(decisions.servers.values()).isNotEmpty().allMatch(id -> id.startsWith("v1"));
    assertThat(scheduler.waitingCount()).isPositive();
  }

  /** Guards against interrupted streams that return to servers that are about to stop. */
  @Test
  void resumedStreamGoesToTargetVersionOnceItHasAllTraffic() {
    applyRule(VersionRule.Mode.SHARE, 0);
    PlacementRequest request = submit(1);
    scheduler.endAttempt(
        request, decisions.servers.getOrDefault(request.id(), ""), AttemptResult.FAILED, NOW);
    applyRule(VersionRule.Mode.TARGET_ONLY, 1);
    PlacementRequest resumed = request.resumed(NOW, Duration.ofSeconds(1), Duration.ofSeconds(1));
    scheduler.submit(resumed, NOW);
    assertThat(decisions.servers.getOrDefault(resumed.id(), "")).startsWith("v2");
  }

  /** Guards against requests at a version that was rolled back, now or by an earlier order. */
  @Test
  void rolledBackVersionsGetNothing() {
    applyRule(VersionRule.Mode.NO_TARGET, 0);
    assertThat(serversOf(50)).allMatch(id -> id.startsWith("v1"));
    filter.apply(new VersionRule(VersionRule.Mode.SHARE, "v3", 0, Set.of("v2")), 0);
    assertThat(serversOf(50)).allMatch(id -> id.startsWith("v1"));
  }
}
