/** Benches: scenarios with faults, whose results are checked against bounds. */
@NullMarked
package org.wigeonstage.bench;

import org.jspecify.annotations.NullMarked;
