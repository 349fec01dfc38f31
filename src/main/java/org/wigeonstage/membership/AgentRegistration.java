package org.wigeonstage.membership;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * What an agent says of itself in the platform's object API.
 *
 * @param name the agent's name
 * @param entries where it listens for entries
 * @param failureDomain the failure domain of its host
 * @param incarnation a number that grows with each start
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record AgentRegistration(
    String name, String entries, String failureDomain, long incarnation) {

  /** The kind of the objects that hold registrations. */
  public static final String KIND = "agents";
}
