package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonstage.common.ClockReading;
import org.wigeonstage.fleet.RoutingRevision;
import org.wigeonstage.routes.RoutingTable;
import org.wigeonstage.routes.TrafficLimits;

class ConfigurationStateTest {

  private Duration steady = Duration.ofSeconds(100);
  private Instant wall = Instant.parse("2026-12-04T00:00:00Z");
  private final ConfigurationState beliefs =
      new ConfigurationState(() -> new ClockReading(steady, wall), Duration.ofSeconds(4));

  private static RoutingRevision revision(long revision) {
    TrafficLimits limits = new TrafficLimits(1, 1, Duration.ZERO, Duration.ZERO);
    return new RoutingRevision(
        revision, new RoutingTable(revision, List.of(), List.of(), List.of(), limits));
  }

  private ClockReading now() {
    return new ClockReading(steady, wall);
  }

  private void pass(Duration onSteady, Duration onWall) {
    steady = steady.plus(onSteady);
    wall = wall.plus(onWall);
  }

  @Test
  void knowsNothingBeforeTheFirstAnswer() {
    assertThat(beliefs.isRoutingFresh()).isFalse();
    assertThat(beliefs.routing()).isEmpty();
  }

  @Test
  void countsTheAgeFromWhenTheStoreWasAsked() {
    ClockReading asked = now();
    pass(Duration.ofSeconds(3), Duration.ofSeconds(3));
    assertThat(beliefs.confirm(revision(1), asked)).isTrue();
    assertThat(beliefs.isRoutingFresh()).isTrue();
    pass(Duration.ofSeconds(1), Duration.ofSeconds(1));
    assertThat(beliefs.isRoutingFresh()).isFalse();
  }

  @Test
  void neverGoesBackToAnOlderRevision() {
    beliefs.confirm(revision(5), now());
    pass(Duration.ofSeconds(5), Duration.ofSeconds(5));
    assertThat(beliefs.confirm(revision(4), now())).isFalse();
    assertThat(beliefs.routing().orElseThrow().revision()).isEqualTo(5);
    assertThat(beliefs.isRoutingFresh()).isFalse();
    assertThat(beliefs.confirm(revision(5), now())).isFalse();
    assertThat(beliefs.isRoutingFresh()).isTrue();
  }

  /** The steady clock stands still while the host is suspended. */
  @Test
  void doubtsWhatItKnewBeforeASuspension() {
    beliefs.confirm(revision(1), now());
    pass(Duration.ZERO, Duration.ofSeconds(6));
    assertThat(beliefs.isRoutingFresh()).isFalse();
  }

  @Test
  void isNotDeceivedByAWallClockThatIsSetBack() {
    beliefs.confirm(revision(1), now());
    pass(Duration.ofSeconds(5), Duration.ofSeconds(-10));
    assertThat(beliefs.isRoutingFresh()).isFalse();
  }

  /** A store that has no news holds each call for as long as it may. */
  @ParameterizedTest
  @ValueSource(ints = {500, 1000, 1800, 4500, 60_000})
  void staysFreshWhileTheStoreHasNoNews(int maxAgeMillis) {
    beliefs.maxAge(Duration.ofMillis(maxAgeMillis));
    beliefs.confirm(revision(1), now());
    for (int i = 0; i < 20; i++) {
      ClockReading asked = now();
      Duration held = beliefs.patience(Duration.ofMillis(1200)).plusMillis(45);
      pass(held, held);
      assertThat(beliefs.isRoutingFresh()).isTrue();
      beliefs.confirm(revision(1), asked);
    }
  }
}
