/** Error codes, clocks, executors and JSON utilities that all other packages use. */
@NullMarked
package org.wigeonstage.common;

import org.jspecify.annotations.NullMarked;
