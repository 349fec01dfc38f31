package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ShutdownScheduleTest {

  /** How late signals are handled, and how long a process takes to end, on the slowest hosts. */
  private static final Duration AROUND_THE_STOP = Duration.ofMillis(300 + 400);

  private static ShutdownSchedule of(long graceMillis) {
    return new ShutdownSchedule(Duration.ofMillis(graceMillis));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 500, 1000, 2000, 4000, 8000, 10_000, 30_000, 120_000, 3_600_000})
  void everyPhaseHasTimeWithinTheGrace(long graceMillis) {
    ShutdownSchedule schedule = of(graceMillis);
    assertThat(schedule.balancerNoticed()).isPositive().isLessThan(schedule.openGivenUp());
    assertThat(schedule.openGivenUp()).isLessThan(schedule.connectionsClosed());
    assertThat(schedule.connectionsClosed()).isLessThan(Duration.ofMillis(graceMillis));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 500, 1000, 2000, 4000, 8000, 10_000, 30_000, 120_000, 3_600_000})
  void openRequestsKeepFiveSixthsOfTheGrace(long graceMillis) {
    Duration grace = Duration.ofMillis(graceMillis);
    assertThat(of(graceMillis).openGivenUp().multipliedBy(6))
        .isGreaterThanOrEqualTo(grace.multipliedBy(5).minusNanos(6));
  }

  /** LOST: a gateway was killed that had begun to end in the last third of a second. */
  @ParameterizedTest
  @ValueSource(longs = {8000, 10_000, 30_000, 120_000})
  void aProcessThatHandlesTheSignalLateStillEndsWithinTheGrace(long graceMillis) {
    assertThat(of(graceMillis).connectionsClosed().plus(AROUND_THE_STOP))
        .isLessThanOrEqualTo(Duration.ofMillis(graceMillis));
  }

  @Test
  void aQuarterOfAShortRestBelongsToLastAnswers() {
    ShutdownSchedule schedule = of(600);
    assertThat(schedule.openGivenUp().toMillis()).isEqualTo(525);
    assertThat(schedule.connectionsClosed().toMillis()).isEqualTo(543);
  }

  @Test
  void aLongGraceIsUsedForOpenRequests() {
    assertThat(of(120_000).openGivenUp()).isGreaterThan(Duration.ofSeconds(118));
  }

  @Test
  void thePhasesOfAGraceOfEightSeconds() {
    ShutdownSchedule schedule = of(8000);
    assertThat(schedule.balancerNoticed()).isEqualTo(Duration.ofMillis(2500));
    assertThat(schedule.openGivenUp().toMillis()).isEqualTo(7000);
    assertThat(schedule.connectionsClosed()).isEqualTo(Duration.ofMillis(7300));
  }

  @Test
  void plainRequestsAreTakenWhileTheyCanBeFinished() {
    ShutdownSchedule schedule = of(8000);
    assertThat(schedule.canFinishPlain(Duration.ofMillis(4950))).isTrue();
    assertThat(schedule.canFinishPlain(Duration.ofMillis(5050))).isFalse();
    assertThat(of(2000).canFinishPlain(Duration.ZERO)).isFalse();
  }
}
