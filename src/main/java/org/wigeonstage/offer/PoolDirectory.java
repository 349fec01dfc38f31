package org.wigeonstage.offer;

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
 * An {@link AgentDirectory} based on the pools of the configuration.
 *
 * <p>Not thread-safe.
 */
public final class PoolDirectory implements AgentDirectory {

  private final Map<String, AgentState> agents = new HashMap<>();
  private Map<String, List<AgentState>> agentsByPool = Map.of();
  private Map<String, Long> membersChangedAtMillis = Map.of();

  /**
   * Replaces the pools with those of a configuration. The state of all known agents is kept.
   *
   * @param document the new configuration
   */
  public void applyConfiguration(ConfigurationDocument document) {
    Map<String, List<AgentState>> newAgentsByPool = new HashMap<>();
    Map<String, Long> newMembersChangedAtMillis = new HashMap<>();
    for (PoolSpec pool : document.pools()) {
      List<AgentState> members = new ArrayList<>();
      for (MemberSpec member : pool.members()) {
        members.add(
            agents.computeIfAbsent(
                member.name(), name -> new AgentState(name, member.failureDomain())));
      }
      newAgentsByPool.put(pool.name(), List.copyOf(members));
      MemberChange change = pool.memberChange();
      newMembersChangedAtMillis.put(pool.name(), change == null ? 0 : change.atMillis());
    }
    agentsByPool = newAgentsByPool;
    membersChangedAtMillis = newMembersChangedAtMillis;
  }

  @Override
  public List<AgentState> agentsOf(String pool) {
    return agentsByPool.getOrDefault(pool, List.of());
  }

  @Override
  public @Nullable AgentState agent(String name) {
    return agents.get(name);
  }

  @Override
  public long membersChangedAtMillis(String pool) {
    return membersChangedAtMillis.getOrDefault(pool, 0L);
  }

  @Override
  public Optional<AgentState> homeOf(String pool, IdempotencyKey key) {
    List<String> names = agentsOf(pool).stream().map(AgentState::name).toList();
    return RendezvousHash.firstChoice(key.claimName(), names).map(agents::get);
  }

  /**
   * Returns all agents that are or were members of a pool.
   *
   * @return the agents of all configurations applied so far
   */
  public List<AgentState> allAgents() {
    return List.copyOf(agents.values());
  }
}
