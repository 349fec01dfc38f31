package org.wigeonstage.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wigeonstage.config.ConfigurationDocument;
import org.wigeonstage.config.MemberSpec;
import org.wigeonstage.config.PoolSpec;

class LinkSelectorTest {

  private static final int MEMBERS = 2000;
  private static final int ENTRIES = 330;
  private static final int LINKS = 16;

  private static ConfigurationDocument document() {
    List<MemberSpec> members = new ArrayList<>();
    for (int i = 0; i < MEMBERS; i++) {
      members.add(new MemberSpec("agent-" + i, "fd-" + i % 24));
    }
    PoolSpec pool = new PoolSpec("runners", PoolSpec.Kind.MODEL, List.of("m"), members, true);
    return new ConfigurationDocument(List.of(), List.of(), List.of(pool), List.of());
  }

  @Test
  void halfOfTheLinksStayInTheFailureDomain() {
    Set<String> selected = new LinkSelector("entry-1", "fd-3", LINKS).select(document());
    long near =
        selected.stream()
            .filter(name -> Integer.parseInt(name.substring("agent-".length())) % 24 == 3)
            .count();
    assertThat(selected).hasSize(LINKS);
    assertThat(near).isGreaterThanOrEqualTo(LINKS / 2);
  }

  @Test
  void aFleetOfEntriesReachesNearlyEveryAgent() {
    ConfigurationDocument document = document();
    Set<String> reached = new HashSet<>();
    for (int i = 0; i < ENTRIES; i++) {
      reached.addAll(new LinkSelector("entry-" + i, "fd-" + i % 24, LINKS).select(document));
    }
    System.out.println(reached.size() + " of " + MEMBERS + " agents reached");
    assertThat(reached.size()).isGreaterThan(MEMBERS * 9 / 10);
  }
}
