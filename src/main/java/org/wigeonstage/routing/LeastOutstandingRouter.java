package org.wigeonstage.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.wigeonstage.request.RequestSpec;

/** Chooses the candidate with the fewest outstanding requests of this entry. */
final class LeastOutstandingRouter implements Router {

  @Override
  public Optional<AgentState> choose(RequestSpec spec, List<AgentState> candidates) {
    return candidates.stream().min(Comparator.comparingInt(AgentState::outstanding));
  }
}
