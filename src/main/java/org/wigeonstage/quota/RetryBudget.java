package org.wigeonstage.quota;

import java.time.Duration;

/**
 * Limits the retries of a pool's requests in a sliding window.
 *
 * <p>Needed when many backend servers fail at once: the retries of the failed requests would
 * overload the remaining ones. All gateways share the allowance: each gets an equal part of the
 * fixed allowance, and a proportional allowance for its own requests. Not thread-safe.
 */
public final class RetryBudget {

  /** The window consists of this many slices of time, of which the current one is incomplete. */
  private static final int SLICES = 20;

  private final RetryLimits limits;
  private final long[] requestsBySlice = new long[SLICES];
  private final long[] retriesBySlice = new long[SLICES];
  private final long sliceNanos;
  private long currentIndex;

  /**
   * Creates a budget.
   *
   * @param limits the limits for all gateways together
   */
  public RetryBudget(RetryLimits limits) {
    this.limits = limits;
    this.sliceNanos = limits.window().toNanos() / (SLICES - 1);
  }

  /**
   * Records a caller's request.
   *
   * @param now the current time
   */
  public void recordRequest(Duration now) {
    requestsBySlice[advance(now)]++;
  }

  /**
   * Acquires a retry if the budget allows it.
   *
   * @param gateways the number of gateways that share the budget
   * @param now the current time
   * @return whether the retry may be made
   */
  public boolean tryAcquireRetry(int gateways, Duration now) {
    if (!allowsRetry(gateways, now)) {
      return false;
    }
    retriesBySlice[advance(now)]++;
    return true;
  }

  /**
   * Returns whether the budget allows a retry, without acquiring it.
   *
   * @param gateways the number of gateways that share the budget
   * @param now the current time
   * @return whether a retry may be made
   */
  public boolean allowsRetry(int gateways, Duration now) {
    advance(now);
    double allowed =
        limits.usableShare()
            * (limits.retriesPerRequest() * sum(requestsBySlice)
                + (double) limits.fixedRetries() / gateways);
    return sum(retriesBySlice) + 1 <= allowed;
  }

  /** Clears the slices that have left the window, and returns the position of the current one. */
  private int advance(Duration now) {
    long index = now.toNanos() / sliceNanos;
    long expired = Math.min(index - currentIndex, SLICES);
    for (long i = 0; i < expired; i++) {
      int slice = (int) ((index - i) % SLICES);
      requestsBySlice[slice] = 0;
      retriesBySlice[slice] = 0;
    }
    currentIndex = Math.max(currentIndex, index);
    return (int) (currentIndex % SLICES);
  }

  private static long sum(long[] counts) {
    long total = 0;
    for (long count : counts) {
      total += count;
    }
    return total;
  }
}
