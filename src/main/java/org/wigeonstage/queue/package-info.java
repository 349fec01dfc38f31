/** The bounded request queue of an agent, and the limit of concurrently running requests. */
@NullMarked
package org.wigeonstage.queue;

import org.jspecify.annotations.NullMarked;
