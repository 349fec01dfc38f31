package org.wigeonstage.load;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A class of similar requests in a load.
 *
 * @param name the name of the class
 * @param tier the rank of the tier that its requests have, for reports
 * @param key the API key of the client account
 * @param target the model's name, or the path of a plain service
 * @param model whether the target is a model
 * @param ratePerSecond the mean number of requests a second
 * @param prefixes the number of distinct shared prefixes
 * @param prefixTokens the length of the shared prefix in tokens
 * @param promptTokens the mean length of the rest of the prompt in tokens
 * @param outputTokens the mean length of the response in tokens
 * @param stream whether the response is requested as an event stream
 * @param keyed whether each request has an idempotency key
 * @param firstPartTargetMillis the time within which the first part must come, in milliseconds
 */
public record RequestClass(
    String name,
    int tier,
    String key,
    String target,
    boolean model,
    double ratePerSecond,
    int prefixes,
    int prefixTokens,
    int promptTokens,
    int outputTokens,
    boolean stream,
    boolean keyed,
    long firstPartTargetMillis) {

  /**
   * Checks the rate.
   *
   * @throws IllegalArgumentException if the rate is negative
   */
  public RequestClass {
    checkArgument(ratePerSecond >= 0, "rate must not be negative, was %s", ratePerSecond);
  }
}
