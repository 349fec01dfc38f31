package org.wigeonstage.placement;

import java.time.Duration;

/**
 * Limits of a {@link PoolScheduler}.
 *
 * @param reservedSlotsPerRank the slots of each server that a request leaves free for each route
 *     rank more urgent than its own
 * @param maxQueuedAtServer the requests of route rank 0 that a server receives beyond its slots;
 *     they begin to run there as soon as any of its running requests ends
 * @param rateWindow the window over which the rate of started requests is measured
 * @param suspectBackoff how long a server is suspect after the first reason for it; the time
 *     doubles with each reason that follows without a response in between
 * @param declineBackoff how long a server is avoided after it declined a request, which it does
 *     while it is full; the time doubles with each consecutive decline
 * @param maxBackoff the longest time for which a server is avoided
 * @param learnsServerLimits whether the speed of servers, and how many requests each handles well,
 *     is learned from their responses
 */
public record SchedulingLimits(
    int reservedSlotsPerRank,
    int maxQueuedAtServer,
    Duration rateWindow,
    Duration suspectBackoff,
    Duration declineBackoff,
    Duration maxBackoff,
    boolean learnsServerLimits) {

  /** The limits for backend servers that run requests in order of arrival. */
  public static final SchedulingLimits DEFAULTS =
      new SchedulingLimits(
          1,
          2,
          Duration.ofSeconds(2),
          Duration.ofMillis(400),
          Duration.ofMillis(50),
          Duration.ofMillis(3000),
          false);

  /**
   * Returns the same limits with or without learning about the servers.
   *
   * @param isLearned whether to learn
   * @return the changed limits
   */
  public SchedulingLimits withLearnedServerLimits(boolean isLearned) {
    return new SchedulingLimits(
        reservedSlotsPerRank,
        maxQueuedAtServer,
        rateWindow,
        suspectBackoff,
        declineBackoff,
        maxBackoff,
        isLearned);
  }
}
