/**
 * Scheduling of requests on backend servers: queues ordered by urgency, the choice of a server, and
 * estimates of server speed. Terms such as slot, urgency, first part and suspect are defined in
 * {@link org.wigeonstage.gateway}.
 */
@NullMarked
package org.wigeonstage.placement;

import org.jspecify.annotations.NullMarked;
