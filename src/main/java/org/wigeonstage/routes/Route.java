package org.wigeonstage.routes;

import java.time.Duration;
import java.util.List;

/**
 * A rule for the requests of one host whose path begins with a prefix.
 *
 * @param name the name, unique in the routing table
 * @param host the host that callers name, without a port
 * @param pathPrefix begins and ends with a slash
 * @param kind what may be repeated
 * @param isResumable whether a broken stream may go on at another backend server
 * @param timeout the longest time until the end of the answer
 * @param firstPartObjective the time until the first part of the answer that earns full credit
 * @param gapObjective the longest pause between two events of a stream
 * @param priority the rank, 0 being the most urgent
 * @param maxAttempts the most backend servers that one request may be sent to
 * @param allowsAnonymous whether callers need no key
 * @param pools the pools that serve the route
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    boolean isResumable,
    Duration timeout,
    Duration firstPartObjective,
    Duration gapObjective,
    int priority,
    int maxAttempts,
    boolean allowsAnonymous,
    List<WeightedPool> pools) {

  /** Makes the list immutable. */
  public Route {
    pools = List.copyOf(pools);
  }

  /**
   * Returns whether a request of this route may run more than once.
   *
   * @return whether it is idempotent or a resumable stream
   */
  public boolean mayRetry() {
    return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && isResumable);
  }

  /**
   * Returns the pool for a request.
   *
   * @param draw a random number from 0 (inclusive) to 1 (exclusive)
   * @return the pool's name
   */
  public String selectPool(double draw) {
    int total = pools.stream().mapToInt(WeightedPool::weight).sum();
    double remaining = draw * total;
    for (WeightedPool pool : pools) {
      remaining -= pool.weight();
      if (remaining < 0) {
        return pool.pool();
      }
    }
    return pools.get(pools.size() - 1).pool();
  }
}
