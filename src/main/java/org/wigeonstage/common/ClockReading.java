package org.wigeonstage.common;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.time.Instant;

/**
 * A simultaneous reading of the monotonic clock and the wall clock.
 *
 * <p>The monotonic clock stops while the host is suspended, and the wall clock may be adjusted. The
 * time between two readings is therefore the larger of the two differences.
 *
 * @param monotonic the time since the origin of the monotonic clock
 * @param wallClock the time of the wall clock
 */
public record ClockReading(Duration monotonic, Instant wallClock) {

  /**
   * Returns the time that has passed since an earlier reading.
   *
   * @param earlier the earlier reading
   * @return the larger difference of the two clocks, at least zero
   */
  public Duration elapsedSince(ClockReading earlier) {
    Duration byMonotonic = monotonic.minus(earlier.monotonic);
    Duration byWallClock = Duration.between(earlier.wallClock, wallClock);
    Duration larger = Comparators.max(byMonotonic, byWallClock);
    return larger.isNegative() ? Duration.ZERO : larger;
  }

  /**
   * Returns the reading some time before this one.
   *
   * @param time the time
   * @return the earlier reading
   */
  public ClockReading minus(Duration time) {
    return new ClockReading(monotonic.minus(time), wallClock.minus(time));
  }
}
