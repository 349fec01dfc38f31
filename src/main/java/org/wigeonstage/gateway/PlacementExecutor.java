package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.Map;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.placement.PlacementEffects;
import org.wigeonstage.placement.PlacementRequest;
import org.wigeonstage.placement.RefusalReason;
import org.wigeonstage.placement.ServerEstimate;

/** Executes the decisions of the schedulers. */
final class PlacementExecutor implements PlacementEffects {

  private final Map<PlacementRequest, ForwardedRequest> openRequests;
  private final RequestGuard guard;

  /**
   * Creates an executor.
   *
   * @param openRequests the open requests, as they are at the time of a decision
   */
  PlacementExecutor(Map<PlacementRequest, ForwardedRequest> openRequests, RequestGuard guard) {
    this.openRequests = openRequests;
    this.guard = guard;
  }

  @Override
  public void start(PlacementRequest placement, BackendServer server, ServerEstimate estimate) {
    ForwardedRequest request = openRequests.get(placement);
    if (request != null) {
      guard.run(request, "start", () -> request.start(server, estimate));
    }
  }

  @Override
  public void refuse(PlacementRequest placement, RefusalReason reason, Duration retryAfter) {
    ForwardedRequest request = openRequests.get(placement);
    if (request != null) {
      guard.run(request, "refusal", () -> request.refuse(reason, retryAfter));
    }
  }
}
