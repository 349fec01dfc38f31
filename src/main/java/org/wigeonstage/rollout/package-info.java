/**
 * Roll-outs of server versions: an operator orders that the traffic of a service be shifted to the
 * servers of a version.
 *
 * <p>The elected gateway decides with a {@link org.wigeonstage.rollout.RolloutDecider}, on evidence
 * that all gateways report to it. Each gateway applies the current step with a {@link
 * org.wigeonstage.rollout.VersionFilter}. The platform's name for a pool is service.
 */
@NullMarked
package org.wigeonstage.rollout;

import org.jspecify.annotations.NullMarked;
