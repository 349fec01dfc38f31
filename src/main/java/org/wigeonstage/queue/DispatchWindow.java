package org.wigeonstage.queue;

import java.time.Duration;
import org.wigeonstage.request.Tier;

/** The number of requests that a backend server may run at once. */
public interface DispatchWindow {

  /**
   * Tells whether one more request may be dispatched.
   *
   * @param tier the request's tier
   * @param running the number of requests that run
   * @return whether there is room
   */
  boolean hasRoom(Tier tier, int running);

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
