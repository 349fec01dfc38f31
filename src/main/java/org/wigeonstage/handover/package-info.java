/**
 * The messages by which entries hand requests over to agents and receive the responses, and by
 * which gateways share their state.
 */
@NullMarked
package org.wigeonstage.handover;

import org.jspecify.annotations.NullMarked;
