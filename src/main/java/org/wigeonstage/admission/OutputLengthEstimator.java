package org.wigeonstage.admission;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** Learns the length of answers for each client account and model. Safe for several threads. */
public final class OutputLengthEstimator {

  private static final int DEFAULT_TOKENS = 128;
  private static final double NEW_ANSWER_WEIGHT = 0.1;

  /**
   * What answers are alike in length.
   *
   * @param account the account's name
   * @param model the model's name, or the empty text for a plain service
   */
  public record RequestGroup(String account, String model) {}

  private final ConcurrentMap<RequestGroup, Double> averages = new ConcurrentHashMap<>();

  /**
   * Returns the expected length of an answer.
   *
   * @param subject account and model
   * @return the length in tokens
   */
  public int estimate(RequestGroup subject) {
    return (int) Math.round(averages.getOrDefault(subject, (double) DEFAULT_TOKENS));
  }

  /**
   * Learns from an answer.
   *
   * @param subject account and model
   * @param tokens the answer's length in tokens; 0 where it is not known
   */
  public void observe(RequestGroup subject, int tokens) {
    if (tokens == 0) {
      return;
    }
    averages.merge(
        subject, (double) tokens, (old, fresh) -> old + NEW_ANSWER_WEIGHT * (fresh - old));
  }
}
