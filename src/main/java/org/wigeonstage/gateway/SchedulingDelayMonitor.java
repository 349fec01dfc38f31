package org.wigeonstage.gateway;

import com.google.common.collect.Comparators;
import java.time.Duration;
import org.wigeonstage.common.MonotonicClock;

/**
 * Measures by how much the periodic checks of this process run late, because it gets no processor
 * time.
 */
final class SchedulingDelayMonitor {

  /** A delay counts for one to two of these periods. */
  private static final Duration PERIOD = Duration.ofSeconds(10);

  private final MonotonicClock clock;
  private final Duration interval;
  private Duration lastTickAt;
  private Duration periodStart;
  private Duration maxOfPreviousPeriod = Duration.ZERO;
  private Duration maxOfPeriod = Duration.ZERO;

  /**
   * Creates a monitor that has not measured a delay yet.
   *
   * @param clock the clock
   * @param interval the interval between the periodic checks of a process that is never delayed
   */
  SchedulingDelayMonitor(MonotonicClock clock, Duration interval) {
    this.clock = clock;
    this.interval = interval;
    this.lastTickAt = clock.elapsed();
    this.periodStart = lastTickAt;
  }

  /** Records that the periodic checks run now. */
  synchronized void tick() {
    Duration now = clock.elapsed();
    maxOfPeriod = Comparators.max(maxOfPeriod, delayAt(now));
    lastTickAt = now;
    if (now.minus(periodStart).compareTo(PERIOD) >= 0) {
      maxOfPreviousPeriod = maxOfPeriod;
      maxOfPeriod = Duration.ZERO;
      periodStart = now;
    }
  }

  /** Returns the longest recent delay, including that of checks that are late now. */
  synchronized Duration maxRecentDelay() {
    Duration current = delayAt(clock.elapsed());
    return Comparators.max(Comparators.max(maxOfPreviousPeriod, maxOfPeriod), current);
  }

  private Duration delayAt(Duration now) {
    return Comparators.max(Duration.ZERO, now.minus(lastTickAt).minus(interval));
  }
}
