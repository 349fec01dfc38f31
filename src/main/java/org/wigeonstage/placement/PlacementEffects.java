package org.wigeonstage.placement;

import java.time.Duration;
import org.wigeonstage.fleet.BackendServer;

/** Carries out the decisions of a {@link PoolScheduler}. */
public interface PlacementEffects {

  /**
   * Sends a request to a backend server.
   *
   * @param request the request
   * @param server the server
   * @param estimate the state of the server on which the decision is based
   */
  void start(PlacementRequest request, BackendServer server, ServerEstimate estimate);

  /**
   * Refuses a request that was submitted or waits, instead of starting it.
   *
   * @param request the request
   * @param reason why it is refused
   * @param retryAfter the time until a slot is expected to be free
   */
  void refuse(PlacementRequest request, RefusalReason reason, Duration retryAfter);
}
