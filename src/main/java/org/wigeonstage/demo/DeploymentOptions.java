package org.wigeonstage.demo;

import java.time.Duration;
import org.wigeonstage.routing.RoutingPolicy;

/**
 * Options of a {@link Deployment}.
 *
 * @param routing the entries' routing policy
 * @param queueCapacity the maximum number of requests that wait at an agent
 * @param windowMax the maximum number of requests that a backend server runs at once
 * @param reservedShare the share of the window that each tier leaves free for higher tiers
 * @param targetGap the target for the 95th percentile of event gaps
 */
public record DeploymentOptions(
    RoutingPolicy routing,
    int queueCapacity,
    int windowMax,
    double reservedShare,
    Duration targetGap) {

  /** The default options of the demo and the benches. */
  public static final DeploymentOptions DEFAULTS =
      new DeploymentOptions(RoutingPolicy.PREFIX_AFFINITY, 64, 16, 0.1, Duration.ofMillis(34));

  /**
   * Returns these options with another routing policy.
   *
   * @param policy the policy
   * @return the options
   */
  public DeploymentOptions withRouting(RoutingPolicy policy) {
    return new DeploymentOptions(policy, queueCapacity, windowMax, reservedShare, targetGap);
  }
}
