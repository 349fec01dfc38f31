package org.wigeonstage.common;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.time.Instant;

/**
 * A reading of two clocks at one moment.
 *
 * <p>The steady clock stands still while the host is suspended, and the wall clock may be set. The
 * age of anything is therefore the larger of the two differences.
 *
 * @param monotonic the time since the steady clock's origin
 * @param wallClock the time of day
 */
public record ClockReading(Duration monotonic, Instant wallClock) {

  /**
   * Returns how long ago an earlier reading may have been taken.
   *
   * @param earlier the earlier reading
   * @return the larger of the differences, at least zero
   */
  public Duration elapsedSince(ClockReading earlier) {
    Duration bySteady = monotonic.minus(earlier.monotonic);
    Duration byWall = Duration.between(earlier.wallClock, wallClock);
    Duration larger = Comparators.max(bySteady, byWall);
    return larger.isNegative() ? Duration.ZERO : larger;
  }
}
