package org.wigeonstage.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.wigeonstage.request.RequestSpec;

/** Chooses a random candidate. */
final class RandomRouter implements Router {

  private final RandomGenerator random;

  RandomRouter(RandomGenerator random) {
    this.random = random;
  }

  @Override
  public Optional<AgentState> choose(RequestSpec spec, List<AgentState> candidates) {
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(random.nextInt(candidates.size())));
  }
}
