/** The entry: the process that accepts the requests of callers and of operators. */
@NullMarked
package org.wigeonstage.entry;

import org.jspecify.annotations.NullMarked;
