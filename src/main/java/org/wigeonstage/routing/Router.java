package org.wigeonstage.routing;

import java.util.List;
import java.util.Optional;
import org.wigeonstage.request.RequestSpec;

/**
 * Chooses the agent that a request is offered to.
 *
 * <p>Not thread-safe.
 */
public interface Router {

  /**
   * Chooses one of the candidates.
   *
   * @param spec the request
   * @param candidates the agents that the request may be offered to
   * @return the chosen agent, or empty if there are no candidates
   */
  Optional<AgentState> choose(RequestSpec spec, List<AgentState> candidates);
}
