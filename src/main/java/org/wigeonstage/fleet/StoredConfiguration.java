package org.wigeonstage.fleet;

import org.wigeonstage.routes.RoutingTable;

/**
 * The configuration that the store holds.
 *
 * @param version the version of the store at which the configuration last changed; unlike {@link
 *     RoutingTable#version}, the store assigns it
 * @param table the configuration
 */
public record StoredConfiguration(StoreVersion version, RoutingTable table) {}
