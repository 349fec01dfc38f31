package org.wigeonstage.capacity;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * The usual speed of the servers of one software version, as this gateway sees it: delays that the
 * gateway itself adds are part of it. Its parent, the profile of the whole pool, supplies the
 * values for which the version has no samples yet.
 */
final class SpeedProfile {

  private static final double NANOS_PER_SECOND = 1e9;

  /** The delay to the first part of an idle server, per prompt token, and added by full load. */
  private static final double[] INITIAL_FIRST_PART = {2, 0.01, 20};

  private static final double[] FIRST_PART_SCALES = {1, 1000, 0.5};

  /** The event gap of an idle server, and what full load adds to it. */
  private static final double[] INITIAL_GAP = {25, 0};

  private static final double[] GAP_SCALES = {1, 0.5};

  private static final double INITIAL_SLOT_MILLIS = 540;

  /** The weight of the newest duration in the moving average. */
  private static final double SMOOTHING_FACTOR = 0.05;

  /** A slowdown of all servers is part of the profile after about this time. */
  private static final double HALF_LIFE_SECONDS = 10;

  /**
   * A sample counts at most as this multiple of the expected value, so that a few responses that
   * hang do not shift the fit.
   */
  private static final double MAX_RATIO = 4;

  /**
   * The mean deviation of the logarithm of the time to the first part at which a sample has its
   * full weight as evidence. A gateway without processor time sees larger ones.
   */
  private static final double USUAL_LOG_DEVIATION = 0.5;

  /**
   * The time to the first part depends on prompts of other gateways, so it says less than the event
   * gap. At 1, in virtual time, each gateway reported two false slowdowns a second in a calm pool
   * of 31 engines; at 0.3, a third of one.
   */
  private static final double FIRST_PART_WEIGHT = 0.3;

  private static final double MIN_FIRST_PART_WEIGHT = 0.03;

  private final @Nullable SpeedProfile parent;
  private final LinearFit firstPart = new LinearFit(INITIAL_FIRST_PART, FIRST_PART_SCALES);
  private final LinearFit gap = new LinearFit(INITIAL_GAP, GAP_SCALES);
  private double slotMillis;
  private int durations;
  private double logDeviation = USUAL_LOG_DEVIATION;
  private Duration solvedAt = Duration.ZERO;

  SpeedProfile(@Nullable SpeedProfile parent) {
    this.parent = parent;
    applyParent();
  }

  private void applyParent() {
    if (parent != null) {
      firstPart.updatePrior(parent.firstPart.coefficients());
      gap.updatePrior(parent.gap.coefficients());
    }
    firstPart.solve();
    gap.solve();
  }

  void recordFirstPart(double millis, double promptTokens, double load) {
    double usual = Math.max(1, firstPartMillis(promptTokens, load));
    double deviation = Math.abs(Math.log(Math.max(1, millis) / usual));
    logDeviation += SMOOTHING_FACTOR * (deviation - logDeviation);
    firstPart.add(Math.min(millis, MAX_RATIO * usual), 1, promptTokens, load);
    if (parent != null) {
      parent.recordFirstPart(millis, promptTokens, load);
    }
  }

  void recordGap(double millis, double load) {
    gap.add(Math.min(millis, MAX_RATIO * gapMillis(load)), 1, load);
    if (parent != null) {
      parent.recordGap(millis, load);
    }
  }

  /** Records how long a complete response occupied a slot. */
  void recordDuration(double millis) {
    double weight = Math.max(SMOOTHING_FACTOR, 1.0 / ++durations);
    slotMillis += weight * (millis - slotMillis);
    if (parent != null) {
      parent.recordDuration(millis);
    }
  }

  /** Applies the samples since the last call, and forgets old ones. */
  void update(Duration now) {
    double seconds = now.minus(solvedAt).toNanos() / NANOS_PER_SECOND;
    solvedAt = now;
    double retained = Math.pow(0.5, seconds / HALF_LIFE_SECONDS);
    firstPart.retain(retained);
    gap.retain(retained);
    applyParent();
  }

  /** Returns the usual time to the first part, for the prompt tokens up to and with the request. */
  double firstPartMillis(double promptTokens, double load) {
    return firstPart.valueAt(1, promptTokens, load);
  }

  double prefillMillisPerToken() {
    return firstPart.coefficients()[1];
  }

  double gapMillis(double load) {
    return gap.valueAt(1, load);
  }

  /**
   * Returns the weight of a time to the first part as evidence, which is low if these vary much.
   */
  double firstPartWeight() {
    double share = USUAL_LOG_DEVIATION / Math.max(USUAL_LOG_DEVIATION, logDeviation);
    return Math.max(MIN_FIRST_PART_WEIGHT, FIRST_PART_WEIGHT * share * share);
  }

  /** Returns how long a request usually occupies its slot. */
  double slotMillis() {
    if (durations > 0) {
      return slotMillis;
    }
    return parent == null ? INITIAL_SLOT_MILLIS : parent.slotMillis();
  }
}
