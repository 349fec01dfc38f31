package org.wigeonstage.offer;

import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.request.IdempotencyKey;
import org.wigeonstage.routing.AgentState;

/** The agents known to an entry. */
public interface AgentDirectory {

  /**
   * Returns the agents of a pool.
   *
   * @param pool the name of the pool
   * @return the agents, linked or not
   */
  List<AgentState> agentsOf(String pool);

  /**
   * Returns an agent by name.
   *
   * @param name the name of the agent
   * @return the agent, or null if it is unknown
   */
  @Nullable AgentState agent(String name);

  /**
   * Returns when the members of a pool last changed.
   *
   * @param pool the name of the pool
   * @return milliseconds since the epoch, or 0 if they never changed
   */
  long membersChangedAtMillis(String pool);

  /**
   * Returns the home of an idempotency key: the one agent that decides about requests with the key.
   *
   * <p>The choice depends on the configured members of the pool and not on which of them are
   * linked, so that two entries never offer requests with the same key to different agents.
   *
   * @param pool the name of the pool
   * @param key the idempotency key
   * @return the agent, or empty if the pool has no members
   */
  Optional<AgentState> homeOf(String pool, IdempotencyKey key);
}
