/**
 * Admission at an entry, the process that callers send their requests to: the filters that a
 * request passes before it is offered to an agent. See {@link org.wigeonstage.handover} for the
 * other terms.
 */
@NullMarked
package org.wigeonstage.admission;

import org.jspecify.annotations.NullMarked;
