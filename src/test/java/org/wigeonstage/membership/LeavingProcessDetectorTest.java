package org.wigeonstage.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeonstage.store.ListedHost;

class LeavingProcessDetectorTest {

  private final LeavingProcessDetector list = new LeavingProcessDetector();

  @Test
  void aHostThatIsListedAsLeavingIsSuspected() {
    assertThat(list.update(List.of(new ListedHost("a", true), new ListedHost("b", false))))
        .containsExactly("a");
  }

  @Test
  void aHostThatIsNotListedAnyMoreIsSuspected() {
    list.update(List.of(new ListedHost("a", false)));
    assertThat(list.update(List.of())).containsExactly("a");
  }

  @Test
  void aHostThatComesBackIsNotSuspected() {
    list.update(List.of(new ListedHost("a", false)));
    list.update(List.of());
    assertThat(list.update(List.of(new ListedHost("a", false)))).isEmpty();
  }
}
