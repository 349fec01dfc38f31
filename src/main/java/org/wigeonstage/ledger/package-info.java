/** The agent's record of each request: offered, dispatched, answered or never to be dispatched. */
@NullMarked
package org.wigeonstage.ledger;

import org.jspecify.annotations.NullMarked;
