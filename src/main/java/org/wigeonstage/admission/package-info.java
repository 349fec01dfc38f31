/**
 * Admission at an entry, the process that callers send their requests to: the filters that a
 * request passes before it is offered to an agent.
 */
@NullMarked
package org.wigeonstage.admission;

import org.jspecify.annotations.NullMarked;
