package org.wigeonstage.ledger;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/** The work that a backend server gets done in a second, averaged over periods of some seconds. */
final class WorkRate {

  private static final Duration PERIOD = Duration.ofSeconds(2);
  private static final double NEW_PERIOD_WEIGHT = 0.3;
  private static final double NANOS_PER_SECOND = 1e9;

  private @Nullable Instant periodStart;
  private long periodWork;
  private double average;

  void add(long work, Instant now) {
    Instant start = periodStart;
    if (start == null) {
      periodStart = now;
      periodWork = work;
      return;
    }
    periodWork += work;
    Duration length = Duration.between(start, now);
    if (length.compareTo(PERIOD) >= 0) {
      endPeriod(length);
      periodStart = now;
    }
  }

  private void endPeriod(Duration length) {
    double rate = periodWork * NANOS_PER_SECOND / length.toNanos();
    average = average == 0 ? rate : average + NEW_PERIOD_WEIGHT * (rate - average);
    periodWork = 0;
  }

  /** Returns the average, or 0 where no period has ended. */
  double perSecond() {
    return average;
  }
}
