package org.wigeonstage.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeonstage.store.ListedHost;

class LeavingProcessDetectorTest {

  private final LeavingProcessDetector detector = new LeavingProcessDetector();

  @Test
  void suspectsProcessListedAsLeaving() {
    assertThat(detector.update(List.of(new ListedHost("a", true), new ListedHost("b", false))))
        .containsExactly("a");
  }

  @Test
  void suspectsProcessNoLongerListed() {
    detector.update(List.of(new ListedHost("a", false)));
    assertThat(detector.update(List.of())).containsExactly("a");
  }

  @Test
  void doesNotSuspectProcessListedAgain() {
    detector.update(List.of(new ListedHost("a", false)));
    detector.update(List.of());
    assertThat(detector.update(List.of(new ListedHost("a", false)))).isEmpty();
  }
}
