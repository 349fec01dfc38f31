package org.wigeonstage.fleet;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.routes.RoutingTable;

/**
 * The configuration that a gateway has in force, as reported to a peer that asked for it.
 *
 * @param known which configuration it is
 * @param age the time since the call to the store that confirmed it last
 * @param table the configuration, or null if the peer holds it
 */
public record ConfigurationReport(
    KnownConfiguration known, Duration age, @Nullable RoutingTable table) {}
