package org.wigeonstage.placement;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.wigeonstage.fleet.BackendServer;

/** Records the decisions of a scheduler by request identifier, in their order. */
final class RecordedDecisions implements PlacementEffects {

  final Map<String, String> servers = new LinkedHashMap<>();
  final Map<String, RefusalReason> refusals = new LinkedHashMap<>();
  final Map<String, Duration> retryAfters = new LinkedHashMap<>();

  @Override
  public void start(PlacementRequest request, BackendServer server, ServerEstimate estimate) {
    servers.put(request.id(), server.id());
  }

  @Override
  public void refuse(PlacementRequest request, RefusalReason reason, Duration retryAfter) {
    refusals.put(request.id(), reason);
    retryAfters.put(request.id(), retryAfter);
  }
}
