package org.wigeonstage.store;

/**
 * A host in the platform's list.
 *
 * @param name the name of the process that runs on the host
 * @param leaving whether the platform is about to remove the host
 */
public record ListedHost(String name, boolean leaving) {}
