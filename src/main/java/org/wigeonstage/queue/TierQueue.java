package org.wigeonstage.queue;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.Tier;

/**
 * A bounded queue of requests, ordered by tier and, within a tier, fair between client accounts.
 *
 * <p>Not thread-safe.
 */
public interface TierQueue {

  /**
   * Adds a request. A full queue displaces a request of its lowest tier if the new request is of a
   * higher tier, and refuses the new request otherwise.
   *
   * @param request the request, which must not be in the queue
   * @return whether the request was accepted, and which request it displaced
   */
  EnqueueResult add(WaitingRequest request);

  /**
   * Returns the request to dispatch next, without removing it.
   *
   * @return the next request, or empty if the queue is empty
   */
  Optional<WaitingRequest> peek();

  /**
   * Removes a request.
   *
   * @param id the request identifier
   * @return whether the request was in the queue
   */
  boolean remove(RequestId id);

  /**
   * Moves a waiting request to a higher tier, where it becomes the newest request.
   *
   * @param id the identifier of the request, which must be in the queue
   * @param tier the new tier
   */
  void raiseTier(RequestId id, Tier tier);

  /**
   * Removes the requests whose latest start has passed.
   *
   * @param now the current time
   * @return the removed requests
   */
  List<WaitingRequest> removeExpired(Instant now);

  /**
   * Removes all requests.
   *
   * @return the removed requests, in the order of dispatch
   */
  List<WaitingRequest> removeAll();

  /**
   * Returns the number of waiting requests.
   *
   * @return the number of requests
   */
  int size();

  /**
   * Returns the number of waiting requests in a tier and all higher tiers.
   *
   * @param tier the tier
   * @return the number of requests that are dispatched before a new one of the tier
   */
  int sizeAtOrAbove(Tier tier);

  /**
   * Returns the estimated work of all waiting requests.
   *
   * @return the work in output tokens
   */
  long work();

  /**
   * Returns the lowest tier that has a waiting request.
   *
   * @return the tier, or empty if the queue is empty
   */
  Optional<Tier> lowestTier();
}
