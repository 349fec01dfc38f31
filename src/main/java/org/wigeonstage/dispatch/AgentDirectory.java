package org.wigeonstage.dispatch;

import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.request.IdempotencyKey;
import org.wigeonstage.routing.AgentState;

/** The agents that an entry knows. */
public interface AgentDirectory {

  /**
   * Returns the agents of a pool.
   *
   * @param pool the pool's name
   * @return its agents, connected or not
   */
  List<AgentState> agentsOf(String pool);

  /**
   * Returns an agent by name.
   *
   * @param name the agent's name
   * @return the agent, or null where it is not known
   */
  @Nullable AgentState agent(String name);

  /**
   * Returns when a pool's members changed last.
   *
   * @param pool the pool's name
   * @return milliseconds since the epoch; 0 for never
   */
  long membersChangedAtMillis(String pool);

  /**
   * Returns the agent that alone decides about an idempotency key.
   *
   * <p>The choice depends on the pool's configured members and not on which of them are connected,
   * so that two entries never ask different agents.
   *
   * @param pool the pool's name
   * @param key the key
   * @return the agent, or empty where the pool has no members
   */
  Optional<AgentState> homeOf(String pool, IdempotencyKey key);
}
