package org.wigeonstage.queue;

import java.time.Instant;
import org.wigeonstage.request.RequestCost;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.Tier;

/**
 * A request that waits in the queue.
 *
 * @param id the request identifier
 * @param account the name of the client account
 * @param tier the tier
 * @param cost the estimated cost
 * @param startBy the latest start, after which the request must not be dispatched
 */
public record WaitingRequest(
    RequestId id, String account, Tier tier, RequestCost cost, Instant startBy) {

  /**
   * Returns a copy of this request with another tier.
   *
   * @param newTier the tier of the copy
   * @return the copy
   */
  public WaitingRequest withTier(Tier newTier) {
    return new WaitingRequest(id, account, newTier, cost, startBy);
  }
}
