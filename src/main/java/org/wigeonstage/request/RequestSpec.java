package org.wigeonstage.request;

import org.jspecify.annotations.Nullable;

/**
 * The properties of a request that do not change between its admission and its response.
 *
 * @param account the client account's name
 * @param tier the tier, which determines its urgency
 * @param pool the name of the backend server pool
 * @param nonIdempotent whether the request may run at most once across all submissions
 * @param key the caller's idempotency key, or null
 * @param cost the estimated work
 * @param call the HTTP request to the backend server
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
   * Returns a copy with another tier.
   *
   * @param other the other tier
   * @return the copy
   */
  public RequestSpec withTier(Tier other) {
    return new RequestSpec(account, other, pool, nonIdempotent, key, cost, call, traceParent);
  }

  /**
   * Returns a copy without the body, which is not needed once the request has been sent.
   *
   * @return the copy with an empty body
   */
  public RequestSpec withoutBody() {
    HttpCall callWithoutBody =
        new HttpCall(call.method(), call.path(), call.contentType(), NO_BODY);
    return new RequestSpec(
        account, tier, pool, nonIdempotent, key, cost, callWithoutBody, traceParent);
  }
}
