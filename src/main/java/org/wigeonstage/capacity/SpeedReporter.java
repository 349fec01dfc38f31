package org.wigeonstage.capacity;

import java.time.Duration;

/**
 * Decides when peers need what this gateway knows about one server: at once when it slows down
 * clearly, each second while it is slow, and once when it is no longer slow. Nothing is sent about
 * servers that run as usual.
 */
final class SpeedReporter {

  private static final double SLOW = Math.log(1.6);

  /** Below this, the server has recovered. */
  private static final double RECOVERED = Math.log(1.3);

  /** How much slower than last reported is reported at once. */
  private static final double CLEAR_INCREASE = Math.log(1.5);

  /** One late response says little. */
  private static final double MIN_WEIGHT = 1;

  private static final Duration REPEAT_INTERVAL = Duration.ofSeconds(1);
  private static final Duration MIN_INTERVAL = Duration.ofMillis(200);

  private double reported;
  private Duration reportedAt = REPEAT_INTERVAL.negated();

  /** Returns whether a report is due, which is then sent. */
  boolean isDue(double logSlowness, double weight, boolean isConfirmed, Duration now) {
    Duration sinceReport = now.minus(reportedAt);
    if (!isConfirmed || weight < MIN_WEIGHT || sinceReport.compareTo(MIN_INTERVAL) < 0) {
      return false;
    }
    boolean isSlow = logSlowness > SLOW;
    boolean hasRecovered = reported > SLOW && logSlowness < RECOVERED;
    boolean isClearChange = hasRecovered || (isSlow && logSlowness > reported + CLEAR_INCREASE);
    if (isClearChange || (isSlow && sinceReport.compareTo(REPEAT_INTERVAL) >= 0)) {
      reported = hasRecovered ? 0 : logSlowness;
      reportedAt = now;
      return true;
    }
    return false;
  }
}
