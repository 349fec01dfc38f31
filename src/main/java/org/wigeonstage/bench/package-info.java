/**
 * Benches: scenarios with faults, whose results are checked against bounds.
 *
 * <p>A scenario is a load with bursts and faults. Each is run on a new deployment with the default
 * routing policy; some are run again with simpler policies, the <em>baselines</em>. A bound
 * compares a figure with the users' target: either a figure of one run, or its ratio to the same
 * figure of a baseline or of the {@code steady} scenario, which has no bursts or faults. Bounds
 * relative to {@code steady} are checked only if it is run as well. See {@link
 * org.wigeonstage.load} for the figures.
 */
@NullMarked
package org.wigeonstage.bench;

import org.jspecify.annotations.NullMarked;
