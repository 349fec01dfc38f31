package org.wigeonstage.capacity;

import java.time.Duration;

/** What is measured about one request that runs on a server. */
public final class RunSample {

  private final Duration startedAt;
  private final double promptTokens;
  private final double load;
  private double firstPartMillis = -1;
  private double countedRatio;

  /**
   * Creates the sample of a request that starts.
   *
   * @param startedAt when the request was sent to the server
   * @param promptTokens the prompt tokens that the server processes until the first part of the
   *     response, as far as this gateway knows
   * @param load the requests that occupied the server before, as a share of its slots
   */
  RunSample(Duration startedAt, double promptTokens, double load) {
    this.startedAt = startedAt;
    this.promptTokens = promptTokens;
    this.load = load;
  }

  Duration startedAt() {
    return startedAt;
  }

  double promptTokens() {
    return promptTokens;
  }

  double load() {
    return load;
  }

  /** Returns whether the request had to wait at the server for a slot. */
  boolean wasQueued() {
    return load >= 1;
  }

  boolean hasFirstPart() {
    return firstPartMillis >= 0;
  }

  void recordFirstPart(double millis) {
    firstPartMillis = millis;
  }

  /** Returns the time to the first part, which has arrived. */
  double firstPartMillis() {
    return firstPartMillis;
  }

  /** Returns the ratio that has counted as evidence of slowness while the response ran, or 0. */
  double countedRatio() {
    return countedRatio;
  }

  void markCounted(double ratio) {
    countedRatio = ratio;
  }
}
