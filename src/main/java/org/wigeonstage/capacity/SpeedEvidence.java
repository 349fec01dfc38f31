package org.wigeonstage.capacity;

import java.time.Duration;

/**
 * How much slower one server is than usual, from this gateway's own samples. Each sample is the
 * logarithm of the ratio between a measured time and the usual one at the same load, so that a
 * server that is slow only because it is full does not count as slow.
 */
final class SpeedEvidence {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MIN_LOG_RATIO = -Math.log(2);
  private static final double MAX_LOG_RATIO = Math.log(12);

  /** A gateway sends a server of a large pool about one request every two seconds. */
  private static final double HALF_LIFE_SECONDS = 3;

  /**
   * Without new samples, the server counts as usual again after about this time, so that it is
   * tried even while the others suffice.
   */
  private static final double UNCONFIRMED_HALF_LIFE_SECONDS = 1;

  private static final Duration CONFIRMATION_TIME = Duration.ofSeconds(1);

  /** The weight of the assumption that the server runs as usual. */
  static final double PRIOR_WEIGHT = 1;

  /** Samples in a row that all differ this much from the mean show that the speed has changed. */
  private static final double CHANGE = 0.6;

  /** The weight of these samples; more than that of a single one. */
  private static final double MIN_WEIGHT_OF_CHANGE = 1.2;

  /** What remains of the weight of earlier samples after a change. */
  private static final double RETAINED_AT_CHANGE = 0.2;

  /** A peer reports a speed only when it has changed, so its samples are newer than most here. */
  private static final double RETAINED_AT_CONTRARY_REPORT = 0.5;

  private double sum;
  private double weight;
  private double lastDeviation;
  private double deviatingWeight;
  private Duration sampledAt = Duration.ZERO;
  private Duration decayedAt = Duration.ZERO;

  void add(double ratio, double sampleWeight, Duration now) {
    double sample = Math.min(Math.max(Math.log(ratio), MIN_LOG_RATIO), MAX_LOG_RATIO);
    double deviation = sample - mean();
    boolean isDeviating = Math.abs(deviation) > CHANGE;
    boolean isContinued = isDeviating && deviatingWeight > 0 && deviation * lastDeviation > 0;
    deviatingWeight = isDeviating ? (isContinued ? deviatingWeight : 0) + sampleWeight : 0;
    if (isContinued && deviatingWeight >= MIN_WEIGHT_OF_CHANGE) {
      sum *= RETAINED_AT_CHANGE;
      weight *= RETAINED_AT_CHANGE;
    }
    lastDeviation = deviation;
    sum += sampleWeight * sample;
    weight += sampleWeight;
    sampledAt = now;
  }

  /** Reduces the weight of earlier samples if a peer reports a different speed. */
  void compareWith(double reportedMean) {
    if (Math.abs(reportedMean - mean()) > CHANGE) {
      sum *= RETAINED_AT_CONTRARY_REPORT;
      weight *= RETAINED_AT_CONTRARY_REPORT;
    }
  }

  void decay(Duration now) {
    double seconds = now.minus(decayedAt).toNanos() / NANOS_PER_SECOND;
    decayedAt = now;
    double retained = Math.pow(0.5, seconds / HALF_LIFE_SECONDS);
    sum *= retained;
    weight *= retained;
    if (!isConfirmed(now)) {
      sum *= Math.pow(0.5, seconds / UNCONFIRMED_HALF_LIFE_SECONDS);
    }
  }

  /** Returns whether a recent sample confirms the evidence. */
  boolean isConfirmed(Duration now) {
    return now.minus(sampledAt).compareTo(CONFIRMATION_TIME) <= 0;
  }

  /** Returns the estimated logarithm of the slowness. */
  double mean() {
    return sum / (weight + PRIOR_WEIGHT);
  }

  double weight() {
    return weight;
  }
}
