package org.wigeonstage.routing;

import java.util.Locale;
import java.util.random.RandomGenerator;

/** The routing policies that can be chosen in the settings. */
public enum RoutingPolicy {
  /** Chooses the agent with the least expected delay, considering cached prompt prefixes. */
  PREFIX_AFFINITY,
  /** Chooses the agent with the fewest outstanding requests of the entry. */
  LEAST_OUTSTANDING,
  /** Chooses the agents round-robin. */
  ROUND_ROBIN,
  /** Chooses a random agent. */
  RANDOM;

  /**
   * Creates a router of this policy.
   *
   * @param random the source of randomness
   * @return the router
   */
  public Router createRouter(RandomGenerator random) {
    return switch (this) {
      case PREFIX_AFFINITY -> new PrefixAffinityRouter();
      case LEAST_OUTSTANDING -> new LeastOutstandingRouter();
      case ROUND_ROBIN -> new RoundRobinRouter();
      case RANDOM -> new RandomRouter(random);
    };
  }

  /**
   * Returns the name of this policy in the settings.
   *
   * @return the name in lower case with hyphens
   */
  public String text() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /**
   * Returns the policy with the given name in the settings.
   *
   * @param text the name in lower case with hyphens
   * @return the policy
   * @throws IllegalArgumentException if there is no such policy
   */
  public static RoutingPolicy of(String text) {
    return valueOf(text.toUpperCase(Locale.ROOT).replace('-', '_'));
  }
}
