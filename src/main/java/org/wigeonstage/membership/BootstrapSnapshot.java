package org.wigeonstage.membership;

import java.util.List;

/**
 * The state that a process needs to start while the platform is down.
 *
 * @param version the version of the configuration
 * @param document the JSON text of the configuration document
 * @param agents the registrations of the agents
 */
public record BootstrapSnapshot(long version, String document, List<AgentRegistration> agents) {

  /** Creates a snapshot with a copy of the list. */
  public BootstrapSnapshot {
    agents = List.copyOf(agents);
  }
}
