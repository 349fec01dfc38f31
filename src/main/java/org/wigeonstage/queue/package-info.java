/**
 * The bounded request queue of an agent, and the limit of concurrently running requests.
 *
 * <p>See {@link org.wigeonstage.handover} for the terms.
 */
@NullMarked
package org.wigeonstage.queue;

import org.jspecify.annotations.NullMarked;
