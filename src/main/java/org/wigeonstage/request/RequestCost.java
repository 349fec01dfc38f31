package org.wigeonstage.request;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The estimated work of a request.
 *
 * @param promptTokens the prompt's length in tokens
 * @param outputTokens the expected length of the answer in tokens
 * @param prefixHash a hash of the prompt's leading block, equal for prompts that share it; 0 for
 *     none
 */
public record RequestCost(int promptTokens, int outputTokens, long prefixHash) {

  /** How many prompt tokens an engine processes in the time of one output token. */
  public static final int PROMPT_TOKENS_PER_OUTPUT_TOKEN = 32;

  /** The cost of a call to a plain service. */
  public static final RequestCost SERVICE_CALL = new RequestCost(0, 1, 0);

  /** Checks the lengths. */
  public RequestCost {
    checkArgument(promptTokens >= 0, "prompt tokens must not be negative, was %s", promptTokens);
    checkArgument(outputTokens >= 0, "output tokens must not be negative, was %s", outputTokens);
  }

  /**
   * Returns the work of prompt and answer together.
   *
   * @return the work in output tokens
   */
  public long work() {
    return (long) promptTokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN + outputTokens;
  }
}
