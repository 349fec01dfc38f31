package org.wigeonstage.membership;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.wigeonstage.config.ConfigurationDocument;
import org.wigeonstage.config.MemberSpec;
import org.wigeonstage.config.PoolSpec;
import org.wigeonstage.routing.RendezvousHash;

/**
 * Chooses the agents that an entry keeps connections to: in each pool a bounded number, half of
 * them in the entry's own failure domain where there are as many.
 */
public final class LinkSelector {

  private final String entry;
  private final String failureDomain;
  private final int linksPerPool;

  /**
   * Creates a choice.
   *
   * @param entry the entry's name
   * @param failureDomain the failure domain of the entry's host
   * @param linksPerPool the most agents of a pool
   */
  public LinkSelector(String entry, String failureDomain, int linksPerPool) {
    this.entry = entry;
    this.failureDomain = failureDomain;
    this.linksPerPool = linksPerPool;
  }

  /**
   * Chooses agents.
   *
   * @param document the configuration
   * @return the names of the agents
   */
  public Set<String> select(ConfigurationDocument document) {
    Set<String> selected = new HashSet<>();
    document.pools().forEach(pool -> selected.addAll(select(pool)));
    return selected;
  }

  private Set<String> select(PoolSpec pool) {
    Set<String> selected = new HashSet<>();
    addBest(pool.members(), this::isNear, linksPerPool / 2, selected);
    addBest(pool.members(), member -> true, linksPerPool, selected);
    return selected;
  }

  private boolean isNear(MemberSpec member) {
    return member.failureDomain().equals(failureDomain);
  }

  private void addBest(
      List<MemberSpec> members, Predicate<MemberSpec> filter, int limit, Set<String> selected) {
    members.stream()
        .filter(filter)
        .map(MemberSpec::name)
        .filter(name -> !selected.contains(name))
        .sorted(Comparator.comparingLong(this::weight).reversed())
        .limit(Math.max(0, limit - selected.size()))
        .forEach(selected::add);
  }

  private long weight(String agent) {
    return RendezvousHash.weight(RendezvousHash.hash(entry), RendezvousHash.hash(agent));
  }
}
