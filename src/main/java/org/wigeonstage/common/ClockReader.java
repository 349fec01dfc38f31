package org.wigeonstage.common;

import java.time.Instant;

/** Reads the monotonic clock and the wall clock at the same time. */
@FunctionalInterface
public interface ClockReader {

  /**
   * Reads both clocks.
   *
   * @return the reading
   */
  ClockReading read();

  /**
   * Returns a reader of the system clocks.
   *
   * @return the reader
   */
  static ClockReader system() {
    MonotonicClock monotonic = MonotonicClock.system();
    return () -> new ClockReading(monotonic.elapsed(), Instant.now());
  }
}
