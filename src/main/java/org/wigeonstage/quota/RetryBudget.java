package org.wigeonstage.quota;

import java.time.Duration;

/**
 * Limits how many attempts of a pool may follow a first one, in a sliding window.
 *
 * <p>Answers the load pattern in which many backend servers fail at once, and each failed request
 * would come again to those that are left. All gateways share the allowance: each takes its part of
 * the fixed allowance, and its own requests for the proportional one. Not safe for use by several
 * threads.
 */
public final class RetryBudget {

  private static final int BUCKETS = 20;

  private final RetryLimits limits;
  private final long[] requests = new long[BUCKETS];
  private final long[] repeats = new long[BUCKETS];
  private final long bucketNanos;
  private long current;

  /**
   * Creates a budget.
   *
   * @param limits its limits
   */
  public RetryBudget(RetryLimits limits) {
    this.limits = limits;
    this.bucketNanos = limits.window().toNanos() / (BUCKETS - 1);
  }

  /**
   * Notes a caller's request.
   *
   * @param now the time
   */
  public void recordRequest(Duration now) {
    requests[bucket(now)]++;
  }

  /**
   * Takes an attempt that follows a first one, if the budget allows it.
   *
   * @param gateways the number of gateways that share the budget
   * @param now the time
   * @return whether the attempt may be made
   */
  public boolean tryAcquireRetry(int gateways, Duration now) {
    if (!allowsRetry(gateways, now)) {
      return false;
    }
    repeats[bucket(now)]++;
    return true;
  }

  /**
   * Returns whether an attempt may be made that follows a first one, without taking it.
   *
   * @param gateways the number of gateways that share the budget
   * @param now the time
   * @return whether it may be made
   */
  public boolean allowsRetry(int gateways, Duration now) {
    bucket(now);
    double allowed =
        limits.safety() * (limits.ratio() * sum(requests) + (double) limits.fixed() / gateways);
    return sum(repeats) + 1 <= allowed;
  }

  private int bucket(Duration now) {
    long index = now.toNanos() / bucketNanos;
    long cleared = Math.min(index - current, BUCKETS);
    for (long i = 0; i < cleared; i++) {
      int slot = (int) ((index - i) % BUCKETS);
      requests[slot] = 0;
      repeats[slot] = 0;
    }
    current = Math.max(current, index);
    return (int) (current % BUCKETS);
  }

  private static long sum(long[] counts) {
    long total = 0;
    for (long count : counts) {
      total += count;
    }
    return total;
  }
}
