package org.wigeonstage.request;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The estimated work of a request.
 *
 * @param promptTokens the length of the prompt in tokens
 * @param outputTokens the expected length of the response in tokens
 * @param prefixHash a hash of the first block of the prompt, equal for prompts that share it; 0 if
 *     there is none
 */
public record RequestCost(int promptTokens, int outputTokens, long prefixHash) {

  /** The number of prompt tokens that an engine processes in the time of one output token. */
  public static final int PROMPT_TOKENS_PER_OUTPUT_TOKEN = 32;

  /** The cost of a request to a service that is not a model engine. */
  public static final RequestCost SERVICE_CALL = new RequestCost(0, 1, 0);

  /** Checks that the lengths are not negative. */
  public RequestCost {
    checkArgument(promptTokens >= 0, "prompt tokens must not be negative, was %s", promptTokens);
    checkArgument(outputTokens >= 0, "output tokens must not be negative, was %s", outputTokens);
  }

  /**
   * Returns the total work of processing the prompt and generating the response.
   *
   * @return the work, expressed as a number of output tokens
   */
  public long work() {
    return (long) promptTokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN + outputTokens;
  }
}
