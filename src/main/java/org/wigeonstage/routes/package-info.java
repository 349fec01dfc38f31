/**
 * The routing table, which determines the pool, the client account and the limits of a request.
 * Terms such as urgency, first part and event gap are defined in {@link org.wigeonstage.gateway}.
 */
@NullMarked
package org.wigeonstage.routes;

import org.jspecify.annotations.NullMarked;
