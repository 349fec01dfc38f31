package org.wigeonstage.common;

import java.time.Instant;

/** Reads the steady clock and the wall clock together. */
@FunctionalInterface
public interface ClockReader {

  /**
   * Returns a reading of now.
   *
   * @return both clocks
   */
  ClockReading read();

  /**
   * Returns the clocks of this machine.
   *
   * @return a reader of the system's clocks
   */
  static ClockReader system() {
    MonotonicClock steady = MonotonicClock.system();
    return () -> new ClockReading(steady.elapsed(), Instant.now());
  }
}
