package org.wigeonstage.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wigeonstage.store.ObjectList;
import org.wigeonstage.store.StoredObject;

class LimitShareTest {

  private final LimitShare share = new LimitShare("a", "fd");

  private static ObjectList entries(String... names) {
    return new ObjectList(
        1, Arrays.stream(names).map(name -> new StoredObject(name, 1, "{}")).toList());
  }

  @Test
  void singleEntryMayUseFullLimit() {
    assertThat(share.share()).isEqualTo(1);
  }

  @Test
  void registeredEntriesHaveEqualShares() {
    share.updateRegisteredEntries(entries("a", "b", "c", "d"));
    assertThat(share.share()).isEqualTo(0.25);
  }

  @Test
  void entrySuspectedToBeLeavingIsNotCounted() {
    share.updateRegisteredEntries(entries("a", "b"));
    share.updateSuspectedLeaving(Set.of("b"));
    assertThat(share.share()).isEqualTo(1);
  }

  @Test
  void ownEntryIsCountedEvenIfSuspectedToBeLeaving() {
    share.updateRegisteredEntries(entries("a", "b"));
    share.updateSuspectedLeaving(Set.of("a"));
    assertThat(share.share()).isEqualTo(0.5);
  }
}
