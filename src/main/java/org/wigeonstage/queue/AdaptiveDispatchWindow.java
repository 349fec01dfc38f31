package org.wigeonstage.queue;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import org.wigeonstage.request.Tier;

/**
 * A window that grows by steps while gaps stay below their target, and shrinks by a factor when
 * they exceed it because of the load.
 *
 * <p>Gaps count as caused by the load when their mean is well above the least mean that was seen.
 * Gaps that are late for other reasons, such as a busy host, would not get shorter in a smaller
 * window.
 */
public final class AdaptiveDispatchWindow implements DispatchWindow {

  private static final double DECREASE_FACTOR = 0.8;
  private static final int GAPS_PER_ADJUSTMENT = 64;

  /** The share of late gaps in a group of observations above which the window shrinks. */
  private static final double LATE_SHARE = 0.05;

  /** How far the mean gap must stand above the least one to count as caused by the load. */
  private static final double LOADED_FACTOR = 1.25;

  /** By how much the least mean gap grows with each group, so that it follows a changed engine. */
  private static final double LEAST_MEAN_GROWTH = 1.0005;

  private final int minimum;
  private final int maximum;
  private final double reservedShare;
  private final Duration targetGap;
  private double size;
  private Duration total = Duration.ZERO;
  private double leastMeanNanos = Double.POSITIVE_INFINITY;
  private int observed;
  private int late;
  private boolean saturated;

  /**
   * Creates a window.
   *
   * @param minimum the least requests at once
   * @param maximum the most requests at once
   * @param reservedShare the share of the window, from 0 to 1, that each tier leaves to those above
   * @param targetGap the time between two parts of an answer that 95 in 100 should keep
   */
  public AdaptiveDispatchWindow(
      int minimum, int maximum, double reservedShare, Duration targetGap) {
    checkArgument(minimum >= 1, "minimum must be at least 1, was %s", minimum);
    checkArgument(maximum >= minimum, "maximum must not be below minimum, was %s", maximum);
    checkArgument(
        reservedShare >= 0 && reservedShare < 1,
        "reserved share must be from 0 to below 1, was %s",
        reservedShare);
    this.minimum = minimum;
    this.maximum = maximum;
    this.reservedShare = reservedShare;
    this.targetGap = targetGap;
    this.size = maximum;
  }

  @Override
  public int limitOf(Tier tier) {
    int window = size();
    int reserved = (int) Math.ceil(window * reservedShare * tier.rank());
    return Math.max(1, window - reserved);
  }

  @Override
  public void observeGap(Duration gap, int running) {
    observed++;
    total = total.plus(gap);
    if (gap.compareTo(targetGap) > 0) {
      late++;
    }
    saturated |= running >= size();
    if (observed < GAPS_PER_ADJUSTMENT) {
      return;
    }
    adjust();
    observed = 0;
    total = Duration.ZERO;
    late = 0;
    saturated = false;
  }

  private void adjust() {
    double meanNanos = (double) total.toNanos() / observed;
    boolean isLoaded = meanNanos > leastMeanNanos * LOADED_FACTOR;
    leastMeanNanos = Math.min(leastMeanNanos * LEAST_MEAN_GROWTH, meanNanos);
    if (late > observed * LATE_SHARE && isLoaded) {
      size = Math.max(minimum, size * DECREASE_FACTOR);
    } else if (saturated) {
      size = Math.min(maximum, size + 1);
    }
  }

  @Override
  public int size() {
    return (int) size;
  }
}
