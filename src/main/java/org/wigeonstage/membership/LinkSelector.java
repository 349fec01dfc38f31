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
 * Selects the agents to which an entry keeps links. It selects a limited number per pool, at least
 * half of them in the failure domain of the entry if there are enough.
 */
public final class LinkSelector {

  private final String entryName;
  private final String failureDomain;
  private final int linksPerPool;

  /**
   * Creates a selector.
   *
   * @param entryName the name of the entry
   * @param failureDomain the failure domain of the host of the entry
   * @param linksPerPool the maximum number of agents per pool
   */
  public LinkSelector(String entryName, String failureDomain, int linksPerPool) {
    this.entryName = entryName;
    this.failureDomain = failureDomain;
    this.linksPerPool = linksPerPool;
  }

  /**
   * Selects the agents for a configuration.
   *
   * @param document the configuration document
   * @return the names of the agents
   */
  public Set<String> select(ConfigurationDocument document) {
    Set<String> selected = new HashSet<>();
    document.pools().forEach(pool -> selected.addAll(select(pool)));
    return selected;
  }

  private Set<String> select(PoolSpec pool) {
    Set<String> selected = new HashSet<>();
    addHighestWeighted(pool.members(), this::isInOwnFailureDomain, linksPerPool / 2, selected);
    addHighestWeighted(pool.members(), member -> true, linksPerPool, selected);
    return selected;
  }

  private boolean isInOwnFailureDomain(MemberSpec member) {
    return member.failureDomain().equals(failureDomain);
  }

  private void addHighestWeighted(
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
    return RendezvousHash.weight(RendezvousHash.hash(entryName), RendezvousHash.hash(agent));
  }
}
