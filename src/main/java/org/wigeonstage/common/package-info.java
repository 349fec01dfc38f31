/** Error codes, argument checks and clocks that every other package uses. */
@NullMarked
package org.wigeonstage.common;

import org.jspecify.annotations.NullMarked;
