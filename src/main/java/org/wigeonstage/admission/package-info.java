/** Admission at an entry: the filters that a request passes before it is dispatched. */
@NullMarked
package org.wigeonstage.admission;

import org.jspecify.annotations.NullMarked;
