/** Scenarios with faults, their bounds and their reports. */
@NullMarked
package org.wigeonstage.bench;

import org.jspecify.annotations.NullMarked;
