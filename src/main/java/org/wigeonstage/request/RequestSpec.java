package org.wigeonstage.request;

import org.jspecify.annotations.Nullable;

/**
 * Everything about a request that stays the same from its admission to its answer.
 *
 * @param account the client account's name
 * @param tier the tier of urgency
 * @param pool the name of the backend server pool
 * @param nonIdempotent whether the request may run at most once over all submissions
 * @param key the caller's idempotency key, or null
 * @param cost the estimated work
 * @param call the call to the backend server
 * @param traceParent the W3C trace context, or null
 */
public record RequestSpec(
    String account,
    Tier tier,
    String pool,
    boolean nonIdempotent,
    @Nullable IdempotencyKey key,
    RequestCost cost,
    HttpCall call,
    @Nullable String traceParent) {

  private static final byte[] NO_BODY = {};

  /**
   * Returns this request with another tier.
   *
   * @param other the tier
   * @return the request
   */
  public RequestSpec withTier(Tier other) {
    return new RequestSpec(account, other, pool, nonIdempotent, key, cost, call, traceParent);
  }

  /**
   * Returns this request without its body, for records of requests that have been sent.
   *
   * @return the request with an empty body
   */
  public RequestSpec withoutBody() {
    HttpCall bare = new HttpCall(call.method(), call.path(), call.contentType(), NO_BODY);
    return new RequestSpec(account, tier, pool, nonIdempotent, key, cost, bare, traceParent);
  }
}
