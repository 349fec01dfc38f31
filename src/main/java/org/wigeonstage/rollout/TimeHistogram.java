package org.wigeonstage.rollout;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts times in buckets whose bounds grow by the square root of 2.
 *
 * @param countsByBucket the counts that are not 0
 */
public record TimeHistogram(Map<Integer, Integer> countsByBucket) {

  /** A histogram without times. */
  public static final TimeHistogram EMPTY = new TimeHistogram(Map.of());

  /** The number of buckets; the last one holds all times above 17 minutes. */
  public static final int BUCKETS = 41;

  private static final double BUCKETS_PER_DOUBLING = 2;

  /** Added to each time, so that a few milliseconds of jitter do not double a short one. */
  private static final long OFFSET_MILLIS = 10;

  /** Copies the counts. */
  public TimeHistogram {
    countsByBucket = Map.copyOf(countsByBucket);
  }

  /**
   * Returns the bucket of a time.
   *
   * @param time the time
   * @return the number of the bucket
   */
  public static int bucketOf(Duration time) {
    double doublings = Math.log(time.toMillis() + OFFSET_MILLIS) / Math.log(2);
    return (int) Math.max(0, Math.min(BUCKETS - 1, doublings * BUCKETS_PER_DOUBLING));
  }

  /**
   * Returns the sum of two histograms.
   *
   * @param other the other histogram
   * @return the sum
   */
  public TimeHistogram plus(TimeHistogram other) {
    if (other.countsByBucket.isEmpty()) {
      return this;
    }
    Map<Integer, Integer> sum = new HashMap<>(countsByBucket);
    other.countsByBucket.forEach((bucket, count) -> sum.merge(bucket, count, Integer::sum));
    return new TimeHistogram(sum);
  }

  /** Returns the difference; 0 instead of a negative count. */
  TimeHistogram minus(TimeHistogram earlier) {
    Map<Integer, Integer> difference = new HashMap<>();
    countsByBucket.forEach(
        (bucket, count) -> {
          int added = count - earlier.countIn(bucket);
          if (added > 0) {
            difference.put(bucket, added);
          }
        });
    return new TimeHistogram(difference);
  }

  int total() {
    return countsByBucket.values().stream().mapToInt(Integer::intValue).sum();
  }

  int countFrom(int firstBucket) {
    int count = 0;
    for (Map.Entry<Integer, Integer> entry : countsByBucket.entrySet()) {
      count += entry.getKey() >= firstBucket ? entry.getValue() : 0;
    }
    return count;
  }

  int medianBucket() {
    int half = (total() + 1) / 2;
    int bucket = 0;
    for (int count = countIn(0); count < half; count += countIn(bucket)) {
      bucket++;
    }
    return bucket;
  }

  private int countIn(int bucket) {
    return countsByBucket.getOrDefault(bucket, 0);
  }
}
