package org.wigeonstage.queue;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.Tier;

/**
 * A bounded queue ordered by tier and, within a tier, fair between client accounts.
 *
 * <p>Not safe for use by several threads.
 */
public interface TierQueue {

  /**
   * Adds a request, displacing the newest one of the lowest tier where the queue is full.
   *
   * @param request the request
   * @return whether it waits, and which request gave way
   */
  EnqueueResult add(WaitingRequest request);

  /**
   * Returns the request to dispatch next, without removing it.
   *
   * @return the next request, or empty where nothing waits
   */
  Optional<WaitingRequest> peek();

  /**
   * Removes a request.
   *
   * @param id the request
   * @return whether it was waiting
   */
  boolean remove(RequestId id);

  /**
   * Gives a waiting request another tier; it becomes the newest one there.
   *
   * @param id the request, which must be waiting
   * @param tier the tier
   */
  void raiseTier(RequestId id, Tier tier);

  /**
   * Removes the requests whose time to start has passed.
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
   * @return the number
   */
  int size();

  /**
   * Returns the number of waiting requests that go before a new one of a tier.
   *
   * @param tier the tier
   * @return the number of those in this and all higher tiers
   */
  int sizeAtOrAbove(Tier tier);

  /**
   * Returns the estimated work that waits.
   *
   * @return the work in output tokens
   */
  long work();

  /**
   * Returns the lowest tier that waits.
   *
   * @return the tier, or empty where nothing waits
   */
  Optional<Tier> lowestTier();
}
