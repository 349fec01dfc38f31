package org.wigeonstage.routing;

import java.util.List;
import java.util.Optional;
import org.wigeonstage.request.RequestSpec;

/** Chooses an agent for a request. Not safe for use by several threads. */
public interface Router {

  /**
   * Chooses one of the candidates.
   *
   * @param spec the request
   * @param candidates the agents that may be offered the request
   * @return the choice, or empty where there are no candidates
   */
  Optional<AgentState> choose(RequestSpec spec, List<AgentState> candidates);
}
