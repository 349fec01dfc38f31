package org.wigeonstage.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wigeonstage.store.ObjectList;
import org.wigeonstage.store.StoredObject;

class LimitShareTest {

  private final LimitShare shares = new LimitShare("a", "fd");

  private static ObjectList entries(String... names) {
    return new ObjectList(
        1, Arrays.stream(names).map(name -> new StoredObject(name, 1, "{}")).toList());
  }

  @Test
  void anEntryAloneHasTheWholeLimit() {
    assertThat(shares.share()).isEqualTo(1);
  }

  @Test
  void sharesAddUpToTheLimit() {
    shares.updateRegisteredEntries(entries("a", "b", "c", "d"));
    assertThat(shares.share()).isEqualTo(0.25);
  }

  @Test
  void suspectedEntriesLeaveTheirShares() {
    shares.updateRegisteredEntries(entries("a", "b"));
    shares.updateSuspectedEntries(Set.of("b"));
    assertThat(shares.share()).isEqualTo(1);
  }

  @Test
  void aSuspectedEntryStillCountsItself() {
    shares.updateRegisteredEntries(entries("a", "b"));
    shares.updateSuspectedEntries(Set.of("a"));
    assertThat(shares.share()).isEqualTo(0.5);
  }
}
