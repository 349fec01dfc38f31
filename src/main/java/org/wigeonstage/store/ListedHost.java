package org.wigeonstage.store;

/**
 * A host in the platform's list.
 *
 * @param name the name of the process on the host
 * @param leaving whether the platform is about to take the host away
 */
public record ListedHost(String name, boolean leaving) {}
