/** The operators' console: forms that each yield one validated configuration document. */
@NullMarked
package org.wigeonstage.console;

import org.jspecify.annotations.NullMarked;
