package org.wigeonstage.load;

import java.util.List;

/**
 * What the callers of one tier observed.
 *
 * @param tier the tier's rank
 * @param sent the number of requests that were sent and ended within the time limit
 * @param completed the number of requests whose callers got complete responses
 * @param good the number of requests that completed correctly with the first part within its target
 * @param notRun the number of requests whose callers were told that no backend server ran them
 * @param unknown the number of requests of which the callers don't know whether they ran
 * @param firstPartMillis percentiles of the time to the first part of completed requests
 * @param gapMillisP95 the 95th percentile of the mean gap between pieces of the body, in
 *     milliseconds
 * @param goodBySecond the number of good requests for each second in which they were due
 */
public record TierSummary(
    int tier,
    long sent,
    long completed,
    long good,
    long notRun,
    long unknown,
    Percentiles firstPartMillis,
    double gapMillisP95,
    List<Long> goodBySecond) {

  /**
   * Percentiles in milliseconds.
   *
   * @param p50 the median
   * @param p95 the 95th percentile
   * @param p99 the 99th percentile
   */
  public record Percentiles(double p50, double p95, double p99) {}

  /**
   * Returns the share of good requests.
   *
   * @return a number from 0 to 1; 1 if nothing was sent
   */
  public double goodShare() {
    return sent == 0 ? 1 : (double) good / sent;
  }
}
