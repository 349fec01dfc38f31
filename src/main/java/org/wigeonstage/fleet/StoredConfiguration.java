package org.wigeonstage.fleet;

import org.wigeonstage.routes.RoutingTable;

/**
 * The configuration that the store holds.
 *
 * @param revision the revision of the store at which the configuration last changed; unlike {@link
 *     RoutingTable#version}, the store assigns it
 * @param table the configuration
 */
public record StoredConfiguration(long revision, RoutingTable table) {}
