/**
 * Scheduling of requests on backend servers: queues ordered by urgency, the choice of a server, and
 * estimates of server speed.
 */
@NullMarked
package org.wigeonstage.placement;

import org.jspecify.annotations.NullMarked;
