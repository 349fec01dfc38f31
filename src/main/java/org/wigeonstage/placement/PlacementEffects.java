package org.wigeonstage.placement;

import java.time.Duration;
import org.wigeonstage.fleet.BackendServer;

/** Carries out what a {@link PoolScheduler} decides. */
public interface PlacementEffects {

  /**
   * Sends a request to a backend server.
   *
   * @param request the request
   * @param server the server
   * @param estimate what the decision rests on
   */
  void start(PlacementRequest request, BackendServer server, ServerEstimate estimate);

  /**
   * Refuses a request that waited.
   *
   * @param request the request
   * @param reason why
   * @param retryAfter when a place is expected
   */
  void refuse(PlacementRequest request, RefusalReason reason, Duration retryAfter);
}
