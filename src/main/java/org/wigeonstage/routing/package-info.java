/** The choice of an agent for a request. */
@NullMarked
package org.wigeonstage.routing;

import org.jspecify.annotations.NullMarked;
