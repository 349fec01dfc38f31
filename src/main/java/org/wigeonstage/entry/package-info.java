/** The process that callers and operators talk to. */
@NullMarked
package org.wigeonstage.entry;

import org.jspecify.annotations.NullMarked;
