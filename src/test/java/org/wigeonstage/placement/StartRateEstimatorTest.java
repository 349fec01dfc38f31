package org.wigeonstage.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class StartRateEstimatorTest {

  private static final Urgency URGENCY = new Urgency(0, 1);
  private static final long TICK_MILLIS = 20;

  private final StartRateEstimator estimator = new StartRateEstimator(Duration.ofSeconds(2));

  private static Duration millis(long value) {
    return Duration.ofMillis(value);
  }

  /** Lets requests wait, one of which starts at the given interval. */
  private void waitFromTo(long fromMillis, long toMillis, long startIntervalMillis) {
    for (long now = fromMillis; now <= toMillis; now += TICK_MILLIS) {
      estimator.updateWaiting(URGENCY, true, millis(now));
      if ((now - fromMillis) % startIntervalMillis == 0 && now > fromMillis) {
        estimator.recordStart(URGENCY, millis(now));
      }
    }
    estimator.updateWaiting(URGENCY, false, millis(toMillis));
  }

  private long expectedMillis(int count, long nowMillis) {
    return estimator.expectedTimeToStart(count, URGENCY, millis(nowMillis)).toMillis();
  }

  @Test
  void expectsTheRateAtWhichRequestsStartedWhileOthersWaited() {
    waitFromTo(0, 1000, 100);
    assertThat(expectedMillis(3, 1000)).isEqualTo(300);
  }

  @Test
  void addsUpTimesBetweenWhichNothingWaited() {
    waitFromTo(0, 200, 100);
    waitFromTo(500, 700, 100);
    waitFromTo(900, 1100, 100);
    assertThat(expectedMillis(1, 1200)).isEqualTo(100);
  }

  @Test
  void expectsNothingAfterAShortTime() {
    waitFromTo(0, 200, 100);
    assertThat(expectedMillis(1, 200)).isZero();
  }

  @Test
  void forgetsWhatIsOlderThanTheWindow() {
    waitFromTo(0, 1000, 500);
    waitFromTo(3000, 3400, 40);
    assertThat(expectedMillis(1, 3400)).isEqualTo(40);
  }

  /** A suspended process starts nothing, which says nothing about the servers. */
  @Test
  void doesNotCountTheTimeInWhichTheProcessWasSuspended() {
    for (long now = 0; now <= 400; now += TICK_MILLIS) {
      estimator.updateWaiting(URGENCY, true, millis(now));
      estimator.recordStart(URGENCY, millis(now));
    }
    estimator.updateWaiting(URGENCY, true, millis(1600));
    estimator.updateWaiting(URGENCY, true, millis(1620));
    assertThat(expectedMillis(1, 1620)).isLessThanOrEqualTo(TICK_MILLIS);
  }

  /** A gateway with a quarter of a core runs its checks 100 ms late again and again. */
  @Test
  void doesNotCountTheTimeInWhichTheProcessWasLate() {
    for (long now = 0; now <= 1000; now += 120) {
      estimator.updateWaiting(URGENCY, true, millis(now));
      estimator.excludeDelay(millis(now), millis(now + 100));
    }
    assertThat(expectedMillis(5, 1000)).isZero();
  }
}
