package org.wigeonstage.membership;

import java.util.List;

/**
 * What a process needs to start while the platform is down.
 *
 * @param version the version of the configuration
 * @param document the configuration document's JSON text
 * @param agents the registrations of agents
 */
public record BootstrapSnapshot(long version, String document, List<AgentRegistration> agents) {

  /** Makes the list immutable. */
  public BootstrapSnapshot {
    agents = List.copyOf(agents);
  }
}
