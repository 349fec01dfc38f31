package org.wigeonstage.admission;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** Learns the length of answers for each client account and model. Safe for several threads. */
public final class OutputEstimator {

  private static final int DEFAULT_TOKENS = 128;
  private static final double NEW_ANSWER_WEIGHT = 0.1;

  private record Subject(String account, String model) {}

  private final ConcurrentMap<Subject, Double> averages = new ConcurrentHashMap<>();

  /**
   * Returns the expected length of an answer.
   *
   * @param account the account's name
   * @param model the model's name
   * @return the length in tokens
   */
  public int estimate(String account, String model) {
    return (int)
        Math.round(averages.getOrDefault(new Subject(account, model), (double) DEFAULT_TOKENS));
  }

  /**
   * Learns from an answer.
   *
   * @param account the account's name
   * @param model the model's name
   * @param tokens the answer's length in tokens
   */
  public void observe(String account, String model, int tokens) {
    averages.merge(
        new Subject(account, model),
        (double) tokens,
        (old, fresh) -> old + NEW_ANSWER_WEIGHT * (fresh - old));
  }
}
