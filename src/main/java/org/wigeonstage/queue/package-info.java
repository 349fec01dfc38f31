/** The bounded waiting queue ordered by tier, and the window of requests running at once. */
@NullMarked
package org.wigeonstage.queue;

import org.jspecify.annotations.NullMarked;
