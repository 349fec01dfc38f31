/**
 * The agent's ledger of requests, which dispatches each request at most once and records its
 * outcome. A submission that the agent has accepted is attached to an execution; submissions with
 * the same idempotency key are attached to the same one.
 *
 * <p>See {@link org.wigeonstage.handover} for the terms.
 */
@NullMarked
package org.wigeonstage.ledger;

import org.jspecify.annotations.NullMarked;
