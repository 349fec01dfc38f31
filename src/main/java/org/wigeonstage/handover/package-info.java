/** Messages by which entries hand requests over to agents and follow their answers. */
@NullMarked
package org.wigeonstage.handover;

import org.jspecify.annotations.NullMarked;
