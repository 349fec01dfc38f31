/**
 * Offers of requests by an entry: which agent has each request, from routing to final result.
 *
 * <p>See {@link org.wigeonstage.handover} for the terms.
 */
@NullMarked
package org.wigeonstage.offer;

import org.jspecify.annotations.NullMarked;
