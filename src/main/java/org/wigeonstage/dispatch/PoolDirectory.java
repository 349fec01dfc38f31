package org.wigeonstage.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.config.ConfigurationDocument;
import org.wigeonstage.config.MemberSpec;
import org.wigeonstage.config.PoolSpec;
import org.wigeonstage.request.IdempotencyKey;
import org.wigeonstage.request.MemberChange;
import org.wigeonstage.routing.AgentState;
import org.wigeonstage.routing.RendezvousHash;

/**
 * An {@link AgentDirectory} that follows the configuration's pools. Not safe for several threads.
 */
public final class PoolDirectory implements AgentDirectory {

  private final Map<String, AgentState> agents = new HashMap<>();
  private Map<String, List<AgentState>> pools = Map.of();
  private Map<String, Long> memberChanges = Map.of();

  /**
   * Takes over the pools of a configuration. What is known of agents that stay is kept.
   *
   * @param document the configuration now in force
   */
  public void applyConfiguration(ConfigurationDocument document) {
    Map<String, List<AgentState>> updated = new HashMap<>();
    Map<String, Long> changes = new HashMap<>();
    for (PoolSpec pool : document.pools()) {
      List<AgentState> members = new ArrayList<>();
      for (MemberSpec member : pool.members()) {
        members.add(
            agents.computeIfAbsent(
                member.name(), name -> new AgentState(name, member.failureDomain())));
      }
      updated.put(pool.name(), List.copyOf(members));
      MemberChange change = pool.memberChange();
      changes.put(pool.name(), change == null ? 0 : change.atMillis());
    }
    pools = updated;
    memberChanges = changes;
  }

  @Override
  public List<AgentState> agentsOf(String pool) {
    return pools.getOrDefault(pool, List.of());
  }

  @Override
  public @Nullable AgentState agent(String name) {
    return agents.get(name);
  }

  @Override
  public long membersChangedAtMillis(String pool) {
    return memberChanges.getOrDefault(pool, 0L);
  }

  @Override
  public Optional<AgentState> homeOf(String pool, IdempotencyKey key) {
    List<String> names = agentsOf(pool).stream().map(AgentState::name).toList();
    return RendezvousHash.firstChoice(key.claimName(), names).map(agents::get);
  }

  /**
   * Returns all agents that were ever members of a pool.
   *
   * @return the agents
   */
  public List<AgentState> allAgents() {
    return List.copyOf(agents.values());
  }
}
