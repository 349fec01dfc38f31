package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class WatchTimesTest {

  /** The time between two lists that {@code ServerRetention} considers an outage. */
  private static final Duration MIN_OUTAGE = Duration.ofMillis(2300);

  /** The time in which the loss of a response is noticed, and the interval between two calls. */
  private static final Duration LOST_CALL_MARGIN = Duration.ofMillis(650);

  @ParameterizedTest
  @ValueSource(longs = {1000, 2000, 3000, 4000, 60_000})
  void aChangeIsSeenWithinItsBoundAlsoIfACallIsLost(long boundMillis) {
    Duration bound = Duration.ofMillis(boundMillis);
    WatchTimes times = WatchTimes.of(bound, bound);
    assertThat(times.configuration().plus(WatchTimes.LOSS_DETECTION_TIME))
        .isLessThanOrEqualTo(bound);
    assertThat(times.servers()).isEqualTo(times.configuration());
  }

  @Test
  void aLostCallIsNotTakenForAnOutage() {
    WatchTimes times = WatchTimes.of(Duration.ofMinutes(1), Duration.ofMinutes(1));
    assertThat(times.servers().plus(LOST_CALL_MARGIN)).isLessThan(MIN_OUTAGE);
  }

  @Test
  void eachBoundAppliesToItsOwnCalls() {
    WatchTimes times = WatchTimes.of(Duration.ofSeconds(2), Duration.ofSeconds(4));
    assertThat(times.configuration()).isEqualTo(Duration.ofMillis(1200));
    assertThat(times.servers()).isEqualTo(Duration.ofMillis(1600));
  }

  @Test
  void aVeryShortBoundDoesNotMakeCallsWithoutPause() {
    WatchTimes times = WatchTimes.of(Duration.ofMillis(500), Duration.ofMillis(500));
    assertThat(times.configuration()).isPositive();
  }
}
