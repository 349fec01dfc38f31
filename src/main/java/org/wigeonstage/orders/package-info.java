/** Orders to backend servers: which to give, and whether this agent may still give them. */
@NullMarked
package org.wigeonstage.orders;

import org.jspecify.annotations.NullMarked;
