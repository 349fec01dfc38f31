/** Framed MessagePack connections between entries and agents. */
@NullMarked
package org.wigeonstage.wire;

import org.jspecify.annotations.NullMarked;
