/** The filters that a caller's request passes before it is dispatched. */
@NullMarked
package org.wigeonstage.admission;

import org.jspecify.annotations.NullMarked;
