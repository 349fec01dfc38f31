package org.wigeonstage.membership;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The registrations of agents, each with the highest incarnation seen. Safe for several threads.
 */
public final class AgentRegistry {

  private final Map<String, AgentRegistration> registrations = new ConcurrentHashMap<>();

  /**
   * Takes a registration unless a later incarnation is known.
   *
   * @param registration the registration
   */
  public void update(AgentRegistration registration) {
    registrations.merge(
        registration.name(),
        registration,
        (known, fresh) -> fresh.incarnation() >= known.incarnation() ? fresh : known);
  }

  /**
   * Takes the incarnation that an agent gave on a connection.
   *
   * @param name the agent's name
   * @param incarnation the incarnation
   */
  public void updateIncarnation(String name, long incarnation) {
    registrations.computeIfPresent(
        name,
        (key, known) ->
            incarnation > known.incarnation()
                ? new AgentRegistration(name, known.entries(), known.failureDomain(), incarnation)
                : known);
  }

  /**
   * Returns all registrations.
   *
   * @return the registrations, one for each agent
   */
  public List<AgentRegistration> registrations() {
    return List.copyOf(registrations.values());
  }
}
