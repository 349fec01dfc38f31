/**
 * The agent's ledger of requests, which dispatches each request at most once and records its
 * outcome.
 */
@NullMarked
package org.wigeonstage.ledger;

import org.jspecify.annotations.NullMarked;
