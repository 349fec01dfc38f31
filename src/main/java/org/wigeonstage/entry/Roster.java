package org.wigeonstage.entry;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.wigeonstage.agent.AgentRegistration;

/**
 * The registrations of agents, each with the highest incarnation seen. Safe for several threads.
 */
final class Roster {

  private final Map<String, AgentRegistration> registrations = new ConcurrentHashMap<>();

  /** Takes a registration unless a later incarnation is known. */
  void learn(AgentRegistration registration) {
    registrations.merge(
        registration.name(),
        registration,
        (known, fresh) -> fresh.incarnation() >= known.incarnation() ? fresh : known);
  }

  /** Takes the incarnation that an agent gave on a connection. */
  void learnIncarnation(String name, long incarnation) {
    registrations.computeIfPresent(
        name,
        (key, known) ->
            incarnation > known.incarnation()
                ? new AgentRegistration(name, known.entries(), known.failureDomain(), incarnation)
                : known);
  }

  List<AgentRegistration> registrations() {
    return List.copyOf(registrations.values());
  }
}
