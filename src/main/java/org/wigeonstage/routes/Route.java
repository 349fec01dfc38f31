package org.wigeonstage.routes;

import java.time.Duration;
import java.util.List;

/**
 * A routing rule for requests to one host name whose path starts with a prefix.
 *
 * @param name the name, unique in its routing table
 * @param hostName the host name in the callers' requests, without a port
 * @param pathPrefix the prefix, which starts and ends with a slash
 * @param kind the kind of requests, which determines whether they may run more than once
 * @param isResumable whether an interrupted stream may be resumed at another backend server
 * @param timeout the maximum time from the arrival of a request to the end of its response; the
 *     caller may set a shorter time limit
 * @param firstPartObjective the time to the first part of the response (the first bytes of its
 *     body) up to which a request counts as on time
 * @param gapObjective the longest event gap of a stream that counts as on time
 * @param rank the rank; 0 is the most urgent
 * @param maxAttempts the maximum number of times that a request may be sent to a backend server
 * @param allowsAnonymous whether callers may omit the API key
 * @param pools the pools among which requests are distributed
 */
public record Route(
    String name,
    String hostName,
    String pathPrefix,
    RouteKind kind,
    boolean isResumable,
    Duration timeout,
    Duration firstPartObjective,
    Duration gapObjective,
    int rank,
    int maxAttempts,
    boolean allowsAnonymous,
    List<WeightedPool> pools) {

  /** Copies the list. */
  public Route {
    pools = List.copyOf(pools);
  }

  /**
   * Returns whether a request of this route may run more than once.
   *
   * @return whether it is idempotent or a resumable stream
   */
  public boolean mayRunMoreThanOnce() {
    return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && isResumable);
  }

  /**
   * Selects a pool at random, according to the weights.
   *
   * @param random a random number from 0 (inclusive) to 1 (exclusive)
   * @return the pool's name
   */
  public String selectPool(double random) {
    int totalWeight = pools.stream().mapToInt(WeightedPool::weight).sum();
    double remaining = random * totalWeight;
    for (WeightedPool pool : pools) {
      remaining -= pool.weight();
      if (remaining < 0) {
        return pool.pool();
      }
    }
    return pools.get(pools.size() - 1).pool();
  }
}
