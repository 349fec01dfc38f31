package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.Comparators;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ShutdownScheduleTest {

  /** Delay of signal handling plus the time of a process to exit, on the slowest hosts. */
  private static final Duration SIGNAL_AND_EXIT_TIME = Duration.ofMillis(300 + 400);

  /** The request deadline is rounded down to nanoseconds, so six times as much may lack 6 ns. */
  private static final int ROUNDING_ERROR_NANOS = 6;

  private static ShutdownSchedule delayedScheduleOf(long graceMillis, long delayMillis) {
    return new ShutdownSchedule(Duration.ofMillis(graceMillis), Duration.ofMillis(delayMillis));
  }

  private static ShutdownSchedule scheduleOf(long graceMillis) {
    return new ShutdownSchedule(Duration.ofMillis(graceMillis));
  }

  private static void assertPhasesFit(ShutdownSchedule schedule, long graceMillis) {
    assertThat(schedule.balancerDelay()).isPositive().isLessThan(schedule.requestDeadline());
    assertThat(schedule.requestDeadline()).isLessThan(schedule.connectionDeadline());
    assertThat(schedule.connectionDeadline()).isLessThan(Duration.ofMillis(graceMillis));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 500, 1000, 2000, 4000, 8000, 10_000, 30_000, 120_000, 3_600_000})
  void allPhasesFitIntoTheGracePeriod(long graceMillis) {
    assertPhasesFit(scheduleOf(graceMillis), graceMillis);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 500, 1000, 2000, 4000, 8000, 10_000, 30_000, 120_000, 3_600_000})
  void allPhasesFitIntoTheGracePeriodIfTheProcessIsDelayed(long graceMillis) {
    assertPhasesFit(delayedScheduleOf(graceMillis, 60_000), graceMillis);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 500, 1000, 2000, 4000, 8000, 10_000, 30_000, 120_000, 3_600_000})
  void openRequestsGetAtLeastFiveSixthsOfTheGracePeriodIfTheProcessIsDelayed(long graceMillis) {
    assertThat(delayedScheduleOf(graceMillis, 60_000).requestDeadline().multipliedBy(6))
        .isGreaterThanOrEqualTo(
            Duration.ofMillis(graceMillis).multipliedBy(5).minusNanos(ROUNDING_ERROR_NANOS));
  }

  /**
   * A process that had no processor for half a second may have none for as long when it writes the
   * last responses.
   */
  @ParameterizedTest
  @ValueSource(longs = {8000, 10_000, 30_000, 120_000})
  void delayedProcessExitsWithinTheGracePeriodIfItIsDelayedAgain(long graceMillis) {
    Duration delay = Duration.ofMillis(500);
    ShutdownSchedule schedule = delayedScheduleOf(graceMillis, delay.toMillis());
    Duration responsesWrittenAt = schedule.requestDeadline().plus(delay);
    Duration exitStartsAt = Comparators.max(responsesWrittenAt, schedule.connectionDeadline());
    assertThat(exitStartsAt.plus(SIGNAL_AND_EXIT_TIME))
        .isLessThanOrEqualTo(Duration.ofMillis(graceMillis));
  }

  @Test
  void gracePeriodOfEightSecondsIsDividedEarlierByTheDelay() {
    ShutdownSchedule schedule = delayedScheduleOf(8000, 200);
    assertThat(schedule.requestDeadline()).isEqualTo(Duration.ofMillis(6800));
    assertThat(schedule.connectionDeadline()).isEqualTo(Duration.ofMillis(7100));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 500, 1000, 2000, 4000, 8000, 10_000, 30_000, 120_000, 3_600_000})
  void openRequestsGetAtLeastFiveSixthsOfTheGracePeriod(long graceMillis) {
    Duration grace = Duration.ofMillis(graceMillis);
    assertThat(scheduleOf(graceMillis).requestDeadline().multipliedBy(6))
        .isGreaterThanOrEqualTo(grace.multipliedBy(5).minusNanos(ROUNDING_ERROR_NANOS));
  }

  /**
   * Guards against a gateway that starts its exit in the last third of a second of the grace period
   * and is killed before it has ended.
   */
  @ParameterizedTest
  @ValueSource(longs = {8000, 10_000, 30_000, 120_000})
  void exitEndsWithinTheGracePeriodIfTheSignalIsHandledLate(long graceMillis) {
    assertThat(scheduleOf(graceMillis).connectionDeadline().plus(SIGNAL_AND_EXIT_TIME))
        .isLessThanOrEqualTo(Duration.ofMillis(graceMillis));
  }

  @Test
  void deliveryGetsAQuarterOfTheRestOfAShortGracePeriod() {
    ShutdownSchedule schedule = scheduleOf(600);
    assertThat(schedule.requestDeadline().toMillis()).isEqualTo(525);
    assertThat(schedule.connectionDeadline().toMillis()).isEqualTo(543);
  }

  @Test
  void openRequestsGetAlmostAllOfALongGracePeriod() {
    assertThat(scheduleOf(120_000).requestDeadline()).isGreaterThan(Duration.ofSeconds(118));
  }

  @Test
  void gracePeriodOfEightSecondsIsDividedAt2500And7000And7300Millis() {
    ShutdownSchedule schedule = scheduleOf(8000);
    assertThat(schedule.balancerDelay()).isEqualTo(Duration.ofMillis(2500));
    assertThat(schedule.requestDeadline().toMillis()).isEqualTo(7000);
    assertThat(schedule.connectionDeadline()).isEqualTo(Duration.ofMillis(7300));
  }

  @Test
  void plainRequestsCanFinishUntilShortlyBeforeTheRequestDeadline() {
    ShutdownSchedule schedule = scheduleOf(8000);
    assertThat(schedule.canFinishPlain(Duration.ofMillis(4950))).isTrue();
    assertThat(schedule.canFinishPlain(Duration.ofMillis(5050))).isFalse();
    assertThat(scheduleOf(2000).canFinishPlain(Duration.ZERO)).isFalse();
  }
}
