/** Routing: the choice of the agent that a request is offered to. */
@NullMarked
package org.wigeonstage.routing;

import org.jspecify.annotations.NullMarked;
