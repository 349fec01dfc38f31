package org.wigeonstage.membership;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * The registration of an agent in the object store of the platform.
 *
 * @param name the name of the agent
 * @param entries the address on which the agent listens for entries
 * @param failureDomain the failure domain of its host
 * @param incarnation a number that grows with each start of the agent
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record AgentRegistration(
    String name, String entries, String failureDomain, long incarnation) {

  /** The kind of the objects that hold registrations. */
  public static final String KIND = "agents";
}
