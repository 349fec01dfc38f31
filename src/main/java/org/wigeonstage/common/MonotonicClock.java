package org.wigeonstage.common;

import java.time.Duration;

/** A clock for measuring elapsed time that is unaffected by adjustments of the wall clock. */
@FunctionalInterface
public interface MonotonicClock {

  /**
   * Returns the time since an arbitrary but fixed origin.
   *
   * @return the elapsed time
   */
  Duration elapsed();

  /**
   * Returns the system's monotonic clock.
   *
   * @return a clock that reads {@link System#nanoTime()}
   */
  static MonotonicClock system() {
    return () -> Duration.ofNanos(System.nanoTime());
  }
}
