package org.wigeonstage.queue;

import java.time.Instant;
import org.wigeonstage.request.RequestCost;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.Tier;

/**
 * A request in the queue.
 *
 * @param id the request
 * @param account the client account's name
 * @param tier the tier of urgency
 * @param cost the estimated work
 * @param startBy the time after which the request must not be dispatched
 */
public record WaitingRequest(
    RequestId id, String account, Tier tier, RequestCost cost, Instant startBy) {

  /**
   * Returns this request with another tier.
   *
   * @param other the tier
   * @return the request
   */
  public WaitingRequest withTier(Tier other) {
    return new WaitingRequest(id, account, other, cost, startBy);
  }
}
