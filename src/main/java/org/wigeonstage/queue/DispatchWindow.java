package org.wigeonstage.queue;

import java.time.Duration;
import org.wigeonstage.request.Tier;

/** Limits the number of requests that run concurrently on a backend server. */
public interface DispatchWindow {

  /**
   * Returns the number of running requests below which a request of a tier may be dispatched.
   *
   * @param tier the tier
   * @return the limit, at least 1
   */
  int limitOf(Tier tier);

  /**
   * Returns whether one more request may be dispatched.
   *
   * @param tier the tier of the request
   * @param running the number of running requests of all tiers
   * @return whether the number is below the limit of the tier
   */
  default boolean hasFreeSlot(Tier tier, int running) {
    return running < limitOf(tier);
  }

  /**
   * Observes the time between two parts of a response.
   *
   * @param gap the time
   * @param running the number of requests running at the time
   */
  void observeGap(Duration gap, int running);

  /**
   * Returns the number of concurrent requests that the highest tier may use.
   *
   * @return the size, at least 1
   */
  int size();
}
