package org.wigeonstage.rollout;

import org.wigeonstage.settings.RolloutSettings;

/**
 * How much of a pool's traffic the target version of an order gets. Its ordinals are part of the
 * protocol between gateways.
 */
public enum RolloutStep {
  /** Nothing. */
  NONE,
  /** Less than half of the share that a faulty version may get, for the first evidence. */
  FIRST,
  /**
   * Most of the share that a faulty version may get. The rest is spent by the following steps, in
   * which a fault may show for the first time.
   */
  OBSERVE,
  /** A larger share for a short time. */
  RAMP,
  /** All requests; the servers of other versions only finish what they run. */
  FULL;

  private static final double FIRST_PART = 0.4;
  private static final double OBSERVE_PART = 0.8;
  private static final double RAMP_SHARE = 0.3;

  /**
   * Returns the share of the requests that the target version gets.
   *
   * @param settings the limits of roll-outs
   * @return the share, from 0 to 1
   */
  public double share(RolloutSettings settings) {
    return switch (this) {
      case NONE -> 0;
      case FIRST -> FIRST_PART * settings.maxShare();
      case OBSERVE -> OBSERVE_PART * settings.maxShare();
      case RAMP -> Math.max(RAMP_SHARE, settings.maxShare());
      case FULL -> 1;
    };
  }
}
