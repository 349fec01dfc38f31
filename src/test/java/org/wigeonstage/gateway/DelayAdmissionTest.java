package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.wigeonstage.placement.Urgency;

/** Guards against work on useless requests at a process that is behind, and against its order. */
class DelayAdmissionTest {

  private static final Urgency FIRST = new Urgency(0, 0);
  private static final Urgency SECOND = new Urgency(0, 1);
  private static final Urgency THIRD = new Urgency(1, 0);

  private final DelayAdmission admission = new DelayAdmission();

  private boolean isTooLate(Urgency urgency, long objectiveMillis, long ageMillis) {
    return admission.isTooLate(
        urgency, Duration.ofMillis(objectiveMillis), Duration.ofMillis(ageMillis));
  }

  @Test
  void mostUrgentRequestsAreNeverTooLate() {
    isTooLate(SECOND, 400, 0);
    assertThat(isTooLate(FIRST, 600, 100_000)).isFalse();
  }

  @Test
  void lessUrgentRequestsAreTooLateOnceTheirObjectiveHasPassed() {
    isTooLate(FIRST, 600, 0);
    assertThat(isTooLate(SECOND, 400, 399)).isFalse();
    assertThat(isTooLate(SECOND, 400, 400)).isTrue();
    assertThat(isTooLate(THIRD, 1500, 1499)).isFalse();
    assertThat(isTooLate(THIRD, 1500, 1500)).isTrue();
  }

  /** Without routes of different ranks, nothing is rejected in favor of something else. */
  @Test
  void requestsOfOneUrgencyAreNeverTooLate() {
    assertThat(isTooLate(SECOND, 400, 1000)).isFalse();
  }

  @Test
  void requestsWithoutAnObjectiveAreNeverTooLate() {
    isTooLate(FIRST, 600, 0);
    assertThat(isTooLate(SECOND, 0, 1000)).isFalse();
  }
}
