package org.wigeonstage.fleet;

import org.wigeonstage.routes.RoutingTable;

/**
 * A routing table at one revision of the store.
 *
 * @param revision the revision of the table's last change
 * @param table the table
 */
public record RoutingRevision(long revision, RoutingTable table) {}
