package org.wigeonstage.queue;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import org.wigeonstage.request.Tier;

/**
 * A window that grows by steps while gaps stay below their target and shrinks by a factor when they
 * exceed it.
 */
public final class AdaptiveDispatchWindow implements DispatchWindow {

  private static final double DECREASE_FACTOR = 0.8;
  private static final int GAPS_PER_ADJUSTMENT = 64;

  /** The share of late gaps in a group of observations above which the window shrinks. */
  private static final double LATE_SHARE = 0.05;

  private final int minimum;
  private final int maximum;
  private final double reservedShare;
  private final Duration targetGap;
  private double size;
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
  public boolean hasRoom(Tier tier, int running) {
    return running < limitOf(tier);
  }

  private int limitOf(Tier tier) {
    int window = size();
    int reserved = (int) Math.ceil(window * reservedShare * tier.rank());
    return Math.max(1, window - reserved);
  }

  @Override
  public void observeGap(Duration gap, int running) {
    observed++;
    if (gap.compareTo(targetGap) > 0) {
      late++;
    }
    saturated |= running >= size();
    if (observed < GAPS_PER_ADJUSTMENT) {
      return;
    }
    adjust();
    observed = 0;
    late = 0;
    saturated = false;
  }

  private void adjust() {
    if (late > observed * LATE_SHARE) {
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
