package org.wigeonstage.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeonstage.store.ListedHost;

class LeavingProcessDetectorTest {

  private final LeavingProcessDetector detector = new LeavingProcessDetector();

  @Test
  void processListedAsLeavingIsSuspectedToBeLeaving() {
    assertThat(detector.update(List.of(new ListedHost("a", true), new ListedHost("b", false))))
        .containsExactly("a");
  }

  @Test
  void processNoLongerListedIsSuspectedToBeLeaving() {
    detector.update(List.of(new ListedHost("a", false)));
    assertThat(detector.update(List.of())).containsExactly("a");
  }

  @Test
  void processListedAgainIsNotSuspectedToBeLeaving() {
    detector.update(List.of(new ListedHost("a", false)));
    detector.update(List.of());
    assertThat(detector.update(List.of(new ListedHost("a", false)))).isEmpty();
  }
}
