package org.wigeonstage.demo;

import java.time.Duration;
import org.wigeonstage.routing.RoutingPolicy;

/**
 * How a {@link Deployment} is started.
 *
 * @param routing the entries' routing policy
 * @param queueCapacity the most requests that wait at an agent
 * @param windowMax the most requests that an engine runs at once
 * @param reservedShare the share of the window that each tier leaves to those above it
 * @param targetGap the time between two parts of an answer that 95 in 100 should keep
 */
public record DeploymentOptions(
    RoutingPolicy routing,
    int queueCapacity,
    int windowMax,
    double reservedShare,
    Duration targetGap) {

  /** The options that the program uses where none are given. */
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
