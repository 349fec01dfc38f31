package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class SchedulingDelayMonitorTest {

  private static final Duration INTERVAL = Duration.ofMillis(20);

  private Duration now = Duration.ofSeconds(100);
  private final SchedulingDelayMonitor monitor = new SchedulingDelayMonitor(() -> now, INTERVAL);

  private void tickAfterMillis(long millis) {
    now = now.plusMillis(millis);
    monitor.tick();
  }

  private void tickOnTimeFor(Duration duration) {
    Duration end = now.plus(duration);
    while (now.compareTo(end) < 0) {
      tickAfterMillis(INTERVAL.toMillis());
    }
  }

  @Test
  void measuresNoDelayWhileTicksAreOnTime() {
    tickOnTimeFor(Duration.ofSeconds(30));
    assertThat(monitor.maxRecentDelay()).isZero();
  }

  @Test
  void measuresTheLongestDelayBeyondTheInterval() {
    tickAfterMillis(520);
    tickAfterMillis(120);
    assertThat(monitor.maxRecentDelay()).isEqualTo(Duration.ofMillis(500));
  }

  @Test
  void includesTheDelayOfATickThatIsLateNow() {
    tickAfterMillis(20);
    now = now.plusMillis(320);
    assertThat(monitor.maxRecentDelay()).isEqualTo(Duration.ofMillis(300));
  }

  @Test
  void remembersADelayForTenSecondsAndForgetsItAfterTwenty() {
    tickOnTimeFor(Duration.ofSeconds(5));
    tickAfterMillis(520);
    tickOnTimeFor(Duration.ofSeconds(10));
    assertThat(monitor.maxRecentDelay()).isEqualTo(Duration.ofMillis(500));
    tickOnTimeFor(Duration.ofSeconds(10));
    assertThat(monitor.maxRecentDelay()).isZero();
  }
}
