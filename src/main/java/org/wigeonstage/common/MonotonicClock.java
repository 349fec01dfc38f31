package org.wigeonstage.common;

import java.time.Duration;

/** A clock for intervals, unaffected by adjustments of the wall clock. */
@FunctionalInterface
public interface MonotonicClock {

  /**
   * Returns the time since an arbitrary fixed origin.
   *
   * @return the elapsed time
   */
  Duration elapsed();

  /**
   * Returns the clock of this machine.
   *
   * @return a clock that reads {@link System#nanoTime()}
   */
  static MonotonicClock system() {
    return () -> Duration.ofNanos(System.nanoTime());
  }
}
