package org.wigeonstage.fleet;

import org.wigeonstage.routes.RoutingTable;

/**
 * A routing table and the store revision at which it was last changed.
 *
 * @param revision the revision of the last change
 * @param table the table
 */
public record StoredConfiguration(long revision, RoutingTable table) {}
