/**
 * The gateway process. It accepts callers' requests, selects a backend server for each, and
 * forwards them over HTTP itself, whereas an entry sends them to the agents beside the backend
 * servers.
 *
 * <p>Points in time, such as deadlines, are readings of the monotonic clock, given as a {@code
 * Duration} since the clock's origin.
 *
 * <p>Terms of this package and of placement, forward, routes and fleet:
 *
 * <ul>
 *   <li>peer: another gateway that shares the quotas, retry budgets and backend servers.
 *   <li>attempt: one sending of a request to a backend server; retry: a further attempt.
 *   <li>placement: the assignment of a request to a backend server; placement request ({@code
 *       PlacementRequest}): a request that waits for or holds a slot.
 *   <li>slot: capacity for one running request at a backend server.
 *   <li>urgency: the account rank and the route rank of a request; the account rank is compared
 *       first, and 0 is the most urgent.
 *   <li>first part: the first bytes of a response body.
 *   <li>response has started: part of it was sent to the caller, so no other response can replace
 *       it; an interrupted one can only be resumed or aborted.
 *   <li>event gap: the time between two events of a stream.
 *   <li>suspect: a backend server that could not be reached, closed a connection before responding,
 *       or became unresponsive recently; for a backoff, it gets no new requests, unless all servers
 *       of its pool that accept requests are suspect.
 *   <li>leaving: shutting down; a leaving gateway still accepts requests that it expects to finish,
 *       until it stops accepting; a leaving backend server gets no new requests.
 *   <li>declined: the backend server responded that it did not run the request; it gets no new
 *       requests for a short backoff.
 *   <li>misdirected: another backend server responded at the address; the intended one counts as
 *       replaced, and gets no requests until it registers with another address.
 *   <li>refused: the scheduler does not start the request; rejected: the gateway itself sends the
 *       caller an error response.
 *   <li>retry budget: limits the retries of a pool's requests in a time window; the gateways share
 *       the fixed part of the limit.
 *   <li>revision and version of the configuration: the store's number of its last change, and the
 *       number that operators assigned to it.
 *   <li>tick: one run of the periodic checks.
 *   <li>decision log: the log of decisions and events, written with {@link
 *       org.wigeonstage.telemetry.DecisionLog}.
 * </ul>
 */
@NullMarked
package org.wigeonstage.gateway;

import org.jspecify.annotations.NullMarked;
