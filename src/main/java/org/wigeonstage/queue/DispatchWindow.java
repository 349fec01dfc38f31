package org.wigeonstage.queue;

import java.time.Duration;
import org.wigeonstage.request.Tier;

/** The number of requests that a backend server may run at once. */
public interface DispatchWindow {

  /**
   * Returns the number of requests that may run when one of a tier is to be dispatched.
   *
   * @param tier the tier
   * @return the number, at least 1
   */
  int limitOf(Tier tier);

  /**
   * Tells whether one more request may be dispatched.
   *
   * @param tier the request's tier
   * @param running the number of requests that run
   * @return whether there is room
   */
  default boolean hasRoom(Tier tier, int running) {
    return running < limitOf(tier);
  }

  /**
   * Learns from the time between two parts of an answer.
   *
   * @param gap the time
   * @param running the number of requests that ran
   */
  void observeGap(Duration gap, int running);

  /**
   * Returns the number of requests that the highest tier may run at once.
   *
   * @return the number, at least 1
   */
  int size();
}
