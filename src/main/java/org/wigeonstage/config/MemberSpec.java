package org.wigeonstage.config;

/**
 * A backend server of a pool, reached through its agent.
 *
 * @param name the agent's name
 * @param failureDomain the failure domain of its host
 */
public record MemberSpec(String name, String failureDomain) {}
