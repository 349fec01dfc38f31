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

  private static final int MEMBER_COUNT = 2000;
  private static final int FAILURE_DOMAIN_COUNT = 24;
  private static final int ENTRY_COUNT = 330;
  private static final int LINKS_PER_POOL = 16;

  private static ConfigurationDocument document() {
    List<MemberSpec> members = new ArrayList<>();
    for (int i = 0; i < MEMBER_COUNT; i++) {
      members.add(new MemberSpec("agent-" + i, "fd-" + i % FAILURE_DOMAIN_COUNT));
    }
    PoolSpec pool = new PoolSpec("runners", PoolSpec.Kind.MODEL, List.of("m"), members, true);
    return new ConfigurationDocument(List.of(), List.of(), List.of(pool), List.of());
  }

  @Test
  void selectsAtLeastHalfOfAgentsInOwnFailureDomain() {
    Set<String> selected = new LinkSelector("entry-1", "fd-3", LINKS_PER_POOL).select(document());
    long inOwnFailureDomain =
        selected.stream()
            .filter(
                name ->
                    Integer.parseInt(name.substring("agent-".length())) % FAILURE_DOMAIN_COUNT == 3)
            .count();
    assertThat(selected).hasSize(LINKS_PER_POOL);
    assertThat(inOwnFailureDomain).isGreaterThanOrEqualTo(LINKS_PER_POOL / 2);
  }

  @Test
  void manyEntriesTogetherSelectOver90PercentOfAgents() {
    ConfigurationDocument document = document();
    Set<String> selected = new HashSet<>();
    for (int i = 0; i < ENTRY_COUNT; i++) {
      selected.addAll(
          new LinkSelector("entry-" + i, "fd-" + i % FAILURE_DOMAIN_COUNT, LINKS_PER_POOL)
              .select(document));
    }
    System.out.println(selected.size() + " of " + MEMBER_COUNT + " agents selected");
    assertThat(selected.size()).isGreaterThan(MEMBER_COUNT * 9 / 10);
  }
}
