package org.wigeonstage.quota;

import java.time.Duration;

/** Counts the units used in a sliding window. */
final class UsageWindow {

  /** The window consists of this many slices of time, of which the current one is incomplete. */
  private static final int SLICES = 40;

  private final double[] unitsBySlice = new double[SLICES];
  private final long sliceNanos;
  private long currentIndex;

  /** Creates a window that is at least as long as the given duration. */
  UsageWindow(Duration window) {
    this.sliceNanos = window.toNanos() / (SLICES - 1) + 1;
  }

  /**
   * Adds units that were used at the given time, which may be in the past. Negative units remove
   * usage and must carry the time at which it was added: otherwise the sum would be too low once
   * the original usage has left the window.
   */
  void add(double units, Duration at) {
    long index = at.toNanos() / sliceNanos;
    if (index > currentIndex) {
      advance(at);
    }
    if (index > currentIndex - SLICES) {
      unitsBySlice[(int) Math.floorMod(index, (long) SLICES)] += units;
    }
  }

  double sum(Duration now) {
    advance(now);
    double sum = 0;
    for (double units : unitsBySlice) {
      sum += units;
    }
    return sum;
  }

  /** Returns the time until the sum is at most the given value, if nothing is added. */
  Duration timeUntil(double maxSum, Duration now) {
    double sum = sum(now);
    if (sum <= maxSum) {
      return Duration.ZERO;
    }
    long index = currentIndex - SLICES;
    while (sum > maxSum && index < currentIndex) {
      index++;
      sum -= unitsBySlice[(int) Math.floorMod(index, (long) SLICES)];
    }
    return Duration.ofNanos((index + SLICES) * sliceNanos).minus(now);
  }

  private void advance(Duration now) {
    long index = now.toNanos() / sliceNanos;
    long expired = Math.min(index - currentIndex, SLICES);
    for (long i = 0; i < expired; i++) {
      unitsBySlice[(int) ((index - i) % SLICES)] = 0;
    }
    currentIndex = Math.max(currentIndex, index);
  }
}
