package org.wigeonstage.admission;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * Estimates the length of responses from earlier ones of the same client account and model, as an
 * exponential moving average.
 *
 * <p>Thread-safe.
 */
public final class OutputLengthEstimator {

  /** The length assumed before the first response of a group. */
  private static final int DEFAULT_TOKENS = 128;

  /** The weight of the newest response in the average. */
  private static final double SMOOTHING_FACTOR = 0.1;

  /**
   * Requests whose responses are expected to be of similar length.
   *
   * @param account the name of the client account
   * @param model the name of the model, or the empty string for a service
   */
  public record RequestGroup(String account, String model) {}

  private final ConcurrentMap<RequestGroup, Double> averageTokens = new ConcurrentHashMap<>();

  /**
   * Returns the expected length of a response.
   *
   * @param group the client account and model
   * @return the length in tokens
   */
  public int estimate(RequestGroup group) {
    return (int) Math.round(averageTokens.getOrDefault(group, (double) DEFAULT_TOKENS));
  }

  /**
   * Observes the length of a response.
   *
   * @param group the client account and model
   * @param tokens the length of the response in tokens, or 0 if it is unknown
   */
  public void observe(RequestGroup group, int tokens) {
    if (tokens == 0) {
      return;
    }
    averageTokens.merge(
        group, (double) tokens, (old, latest) -> old + SMOOTHING_FACTOR * (latest - old));
  }
}
