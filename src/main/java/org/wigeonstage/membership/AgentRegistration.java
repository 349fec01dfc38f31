package org.wigeonstage.membership;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * The registration of an agent in the object store of the platform.
 *
 * @param name the name of the agent
 * @param entries the address at which entries reach the agent
 * @param failureDomain the failure domain of its host
 * @param incarnation a number that identifies one run of the agent and grows with each start
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record AgentRegistration(
    String name, String entries, String failureDomain, long incarnation) {

  /** The kind of the objects that hold registrations. */
  public static final String KIND = "agents";
}
