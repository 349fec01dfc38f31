/**
 * Routing: an entry's choice of the agent that a request is offered to.
 *
 * <p>The choice uses the load that the agents report. An agent's headroom for a tier is the number
 * of free slots, each of them capacity for one request at its backend server, less the waiting
 * requests that would be dispatched first. An agent's incarnation is a number that identifies one
 * run of the agent and grows with each start.
 */
@NullMarked
package org.wigeonstage.routing;

import org.jspecify.annotations.NullMarked;
