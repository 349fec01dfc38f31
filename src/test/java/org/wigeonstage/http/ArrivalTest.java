package org.wigeonstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class ArrivalTest {

  private static final Duration ACCEPTED_AT = Duration.ofSeconds(5);
  private static final Duration EARLIEST = Duration.ofSeconds(10);
  private static final Duration READ_AT = Duration.ofSeconds(12);

  private static Arrival arrival(boolean isFirstCycle) {
    return new Arrival(ACCEPTED_AT, EARLIEST, READ_AT, isFirstCycle);
  }

  @Test
  void estimateIsNotBeforeTheEarliestArrival() {
    assertThat(arrival(false).limit(Duration.ofSeconds(1))).isEqualTo(EARLIEST);
  }

  @Test
  void estimateIsNotAfterTheReading() {
    assertThat(arrival(false).limit(Duration.ofSeconds(13))).isEqualTo(READ_AT);
    assertThat(arrival(true).limit(Duration.ofSeconds(13))).isEqualTo(READ_AT);
  }

  @Test
  void estimateBetweenTheLimitsIsKept() {
    Duration estimate = Duration.ofSeconds(11);
    assertThat(arrival(false).limit(estimate)).isEqualTo(estimate);
  }

  @Test
  void requestMayHaveWaitedUntilItsConnectionWasAccepted() {
    Duration estimate = Duration.ofSeconds(1);
    assertThat(arrival(true).limit(estimate)).isEqualTo(estimate);
  }
}
