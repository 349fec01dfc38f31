package org.wigeonstage.queue;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import org.wigeonstage.request.Tier;

/**
 * A dispatch window with additive increase and multiplicative decrease. It grows while it is full
 * and the gaps between the parts of responses stay below their target, and shrinks when load makes
 * them exceed it.
 *
 * <p>Late gaps are attributed to load if their mean is well above the lowest mean observed. Gaps
 * that are late for other reasons, such as a busy host, would not become shorter with a smaller
 * window.
 */
public final class AdaptiveDispatchWindow implements DispatchWindow {

  private static final double DECREASE_FACTOR = 0.8;
  private static final int GAPS_PER_ADJUSTMENT = 64;

  /** The share of late gaps per adjustment above which the window may shrink. */
  private static final double MAX_LATE_SHARE = 0.05;

  /** The ratio of the mean gap to the lowest mean above which late gaps are attributed to load. */
  private static final double LOADED_FACTOR = 1.25;

  /** The growth of the lowest mean per adjustment, so that it follows a changed backend server. */
  private static final double LOWEST_MEAN_GROWTH = 1.0005;

  private final int minSize;
  private final int maxSize;
  private final double reservedShare;
  private final Duration targetGap;
  private double size;
  private Duration totalGap = Duration.ZERO;
  private double lowestMeanNanos = Double.POSITIVE_INFINITY;
  private int observedGaps;
  private int lateGaps;

  /** Whether the window was full at any time since the last adjustment. */
  private boolean saturated;

  /**
   * Creates a window of the maximum size.
   *
   * @param minSize the minimum number of concurrent requests
   * @param maxSize the maximum number of concurrent requests
   * @param reservedShare the share of the window, from 0 to below 1, that each tier leaves free for
   *     each tier above it
   * @param targetGap the time between two parts of a response that 95% of the gaps should not
   *     exceed
   */
  public AdaptiveDispatchWindow(
      int minSize, int maxSize, double reservedShare, Duration targetGap) {
    checkArgument(minSize >= 1, "minimum size must be at least 1, was %s", minSize);
    checkArgument(
        maxSize >= minSize, "maximum size must not be below the minimum, was %s", maxSize);
    checkArgument(
        reservedShare >= 0 && reservedShare < 1,
        "reserved share must be from 0 to below 1, was %s",
        reservedShare);
    this.minSize = minSize;
    this.maxSize = maxSize;
    this.reservedShare = reservedShare;
    this.targetGap = targetGap;
    this.size = maxSize;
  }

  @Override
  public int limitOf(Tier tier) {
    int window = size();
    int reserved = (int) Math.ceil(window * reservedShare * tier.rank());
    return Math.max(1, window - reserved);
  }

  @Override
  public void observeGap(Duration gap, int running) {
    observedGaps++;
    totalGap = totalGap.plus(gap);
    if (gap.compareTo(targetGap) > 0) {
      lateGaps++;
    }
    saturated |= running >= size();
    if (observedGaps < GAPS_PER_ADJUSTMENT) {
      return;
    }
    adjust();
    observedGaps = 0;
    totalGap = Duration.ZERO;
    lateGaps = 0;
    saturated = false;
  }

  private void adjust() {
    double meanNanos = (double) totalGap.toNanos() / observedGaps;
    boolean isLoaded = meanNanos > lowestMeanNanos * LOADED_FACTOR;
    lowestMeanNanos = Math.min(lowestMeanNanos * LOWEST_MEAN_GROWTH, meanNanos);
    if (lateGaps > observedGaps * MAX_LATE_SHARE && isLoaded) {
      size = Math.max(minSize, size * DECREASE_FACTOR);
    } else if (saturated) {
      size = Math.min(maxSize, size + 1);
    }
  }

  @Override
  public int size() {
    return (int) size;
  }
}
