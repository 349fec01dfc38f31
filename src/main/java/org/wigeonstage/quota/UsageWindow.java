package org.wigeonstage.quota;

import java.time.Duration;

/** Counts the units used in a sliding window. */
final class UsageWindow {

  private static final int BUCKETS = 40;

  private final double[] unitsByBucket = new double[BUCKETS];
  private final long bucketNanos;
  private long currentIndex;

  /** Creates a window that is at least as long as the given duration. */
  UsageWindow(Duration window) {
    this.bucketNanos = window.toNanos() / (BUCKETS - 1) + 1;
  }

  /**
   * Adds units that were used at the given time, which may be in the past. Negative units remove
   * usage and must carry the time at which it was added: otherwise the sum would be too low once
   * the original usage has left the window.
   */
  void add(double units, Duration at) {
    long index = at.toNanos() / bucketNanos;
    if (index > currentIndex) {
      advance(at);
    }
    if (index > currentIndex - BUCKETS) {
      unitsByBucket[(int) Math.floorMod(index, (long) BUCKETS)] += units;
    }
  }

  double sum(Duration now) {
    advance(now);
    double sum = 0;
    for (double units : unitsByBucket) {
      sum += units;
    }
    return sum;
  }

  /** Returns the time until the sum is at most the given value, if nothing is added. */
  Duration timeUntil(double maxSum, Duration now) {
    double sum = sum(now);
    if (sum <= maxSum) {
      return Duration.ZERO;
    }
    long index = currentIndex - BUCKETS;
    while (sum > maxSum && index < currentIndex) {
      index++;
      sum -= unitsByBucket[(int) Math.floorMod(index, (long) BUCKETS)];
    }
    return Duration.ofNanos((index + BUCKETS) * bucketNanos).minus(now);
  }

  private void advance(Duration now) {
    long index = now.toNanos() / bucketNanos;
    long expired = Math.min(index - currentIndex, BUCKETS);
    for (long i = 0; i < expired; i++) {
      unitsByBucket[(int) ((index - i) % BUCKETS)] = 0;
    }
    currentIndex = Math.max(currentIndex, index);
  }
}
