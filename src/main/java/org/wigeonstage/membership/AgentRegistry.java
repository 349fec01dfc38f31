package org.wigeonstage.membership;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The known registrations of agents, each with its highest known incarnation. Safe for use by
 * several threads.
 */
public final class AgentRegistry {

  private final Map<String, AgentRegistration> registrations = new ConcurrentHashMap<>();

  /**
   * Adds or replaces a registration, unless a later incarnation of the agent is known.
   *
   * @param registration the registration
   */
  public void update(AgentRegistration registration) {
    registrations.merge(
        registration.name(),
        registration,
        (known, received) -> received.incarnation() >= known.incarnation() ? received : known);
  }

  /**
   * Updates the incarnation of a registered agent, if the given one is higher.
   *
   * @param name the name of the agent
   * @param incarnation the incarnation that the agent reported on a link
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
