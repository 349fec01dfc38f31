/**
 * The messages by which entries hand requests over to agents and receive the responses, and by
 * which gateways share their state.
 *
 * <p>Terms that this package and those around it use:
 *
 * <ul>
 *   <li>Caller: a client that sends requests over HTTP.
 *   <li>Entry: the process that accepts the requests of callers and offers them to agents.
 *   <li>Gateway: an entry that sends requests to backend servers itself, without agents.
 *   <li>Agent: the process that runs next to one backend server and sends requests to it.
 *   <li>Backend server: the HTTP server that runs the requests.
 *   <li>Platform: the outside system whose object store and host list the processes read.
 *   <li>Service: a backend server that is not a model engine; its pool is named in the path.
 *   <li>Pool: a group of interchangeable backend servers.
 *   <li>Member of a pool: one of its backend servers, or the agent of that server.
 *   <li>Link: a connection between an entry and an agent, or between two gateways.
 *   <li>Request: what a caller wants to be run.
 *   <li>Submission: one sending of a request by a caller. Each submission has its own {@link
 *       org.wigeonstage.request.RequestId}.
 *   <li>Execution: a request that an agent has accepted. Submissions with the same idempotency key
 *       are attached to one execution, which has the identifier of the first of them.
 *   <li>Offer: the message by which an entry asks an agent to accept a request.
 *   <li>Dispatch: an agent sends a request to its backend server.
 *   <li>To have a request: to be the agent that it was last offered to and that has not refused it.
 *   <li>Tier: the urgency of a request; its rank is 0 for the highest tier and grows downwards.
 *   <li>Work: the estimated cost of a request, expressed as a number of output tokens.
 *   <li>Slot: capacity for one running request at a backend server.
 *   <li>Window (dispatch window): the limit, for each tier, of the requests that may run at once.
 *   <li>Headroom of a tier: its free slots, less the waiting requests of this and higher tiers.
 *   <li>Latest start ({@code startBy}): the time after which a request must not be dispatched.
 *   <li>Tombstone: marks a request that an agent must refuse if an offer of it arrives later.
 *   <li>Incarnation: a number that grows with each start of a process and so identifies the run.
 *   <li>Refused: the request has not reached the agent's backend server and never will ({@link
 *       Message.Refused}).
 *   <li>Rejected: the agent can't provide the response ({@link Message.Rejected}).
 *   <li>Quota unit: a request or a token, whichever the quota of the client account counts.
 *   <li>Quota window: the time over which operators measure the usage of a quota.
 *   <li>Home of a key: the one agent that decides about requests with an idempotency key.
 * </ul>
 */
@NullMarked
package org.wigeonstage.handover;

import org.jspecify.annotations.NullMarked;
