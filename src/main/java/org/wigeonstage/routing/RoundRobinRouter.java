package org.wigeonstage.routing;

import java.util.List;
import java.util.Optional;
import org.wigeonstage.request.RequestSpec;

/** Chooses the candidates round-robin. */
final class RoundRobinRouter implements Router {

  private int next;

  @Override
  public Optional<AgentState> choose(RequestSpec spec, List<AgentState> candidates) {
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(Math.floorMod(next++, candidates.size())));
  }
}
