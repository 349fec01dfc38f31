/** The operators' web console. Each saved form submits one validated configuration document. */
@NullMarked
package org.wigeonstage.console;

import org.jspecify.annotations.NullMarked;
