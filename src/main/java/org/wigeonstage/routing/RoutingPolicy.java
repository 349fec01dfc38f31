package org.wigeonstage.routing;

import java.util.Locale;
import java.util.random.RandomGenerator;

/** The routers that a setting can name. */
public enum RoutingPolicy {
  /** Least expected delay with prefix affinity. */
  PREFIX_AFFINITY,
  /** Fewest outstanding requests. */
  LEAST_OUTSTANDING,
  /** Each agent in turn. */
  ROUND_ROBIN,
  /** By chance. */
  RANDOM;

  /**
   * Creates a router of this policy.
   *
   * @param random the source of chance
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
   * Returns the name as it stands in settings.
   *
   * @return the name in lower case with hyphens
   */
  public String text() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /**
   * Returns the policy of a name in settings.
   *
   * @param text the name
   * @return the policy
   */
  public static RoutingPolicy of(String text) {
    return valueOf(text.toUpperCase(Locale.ROOT).replace('-', '_'));
  }
}
