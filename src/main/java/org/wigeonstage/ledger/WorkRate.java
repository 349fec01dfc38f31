package org.wigeonstage.ledger;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * The exponentially weighted average of the work that a backend server completes per second, in
 * output tokens.
 */
final class WorkRate {

  private static final Duration MIN_SAMPLE_PERIOD = Duration.ofSeconds(2);
  private static final double NEW_SAMPLE_WEIGHT = 0.3;
  private static final double NANOS_PER_SECOND = 1e9;

  private @Nullable Instant sampleStart;
  private long sampleWork;
  private double averagePerSecond;

  void add(long work, Instant now) {
    Instant start = sampleStart;
    if (start == null) {
      sampleStart = now;
      sampleWork = work;
      return;
    }
    sampleWork += work;
    Duration period = Duration.between(start, now);
    if (period.compareTo(MIN_SAMPLE_PERIOD) >= 0) {
      endSample(period);
      sampleStart = now;
    }
  }

  private void endSample(Duration period) {
    double ratePerSecond = sampleWork * NANOS_PER_SECOND / period.toNanos();
    averagePerSecond =
        averagePerSecond == 0
            ? ratePerSecond
            : averagePerSecond + NEW_SAMPLE_WEIGHT * (ratePerSecond - averagePerSecond);
    sampleWork = 0;
  }

  /** Returns the average work per second, or 0 before the first sample is complete. */
  double perSecond() {
    return averagePerSecond;
  }
}
