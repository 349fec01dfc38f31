package org.wigeonstage.routing;

import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.request.RequestCost;
import org.wigeonstage.request.RequestSpec;
import org.wigeonstage.request.Tier;

/**
 * Chooses the candidate with the least expected delay, where prompts that share a prefix count as
 * cached at the candidate that the prefix's hash ranks first, and as partly cached at the second.
 */
final class PrefixAffinityRouter implements Router {

  /** The prompt tokens whose repeated processing weighs as much as a delay of one second. */
  private static final double COLD_TOKENS_PER_SECOND = 10_000;

  /** The share of a prefix's prefill that is expected at the second candidate. */
  private static final double SECOND_COLD_SHARE = 0.7;

  /** What a full window weighs against an empty one, in seconds of delay. */
  private static final double FULL_WINDOW_SECONDS = 0.5;

  @Override
  public Optional<AgentState> choose(RequestSpec spec, List<AgentState> candidates) {
    RequestCost cost = spec.cost();
    WarmPair warm = WarmPair.of(cost.prefixHash(), candidates);
    double coldSeconds = cost.promptTokens() / COLD_TOKENS_PER_SECOND;
    AgentState best = null;
    double bestSeconds = Double.POSITIVE_INFINITY;
    for (AgentState candidate : candidates) {
      double seconds = delayAt(candidate, spec.tier()) + coldSeconds * warm.coldShareAt(candidate);
      if (seconds < bestSeconds) {
        best = candidate;
        bestSeconds = seconds;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns the expected delay at a candidate, in seconds. A request for which there is room runs
   * at once; another waits for the work of those before it.
   */
  private static double delayAt(AgentState candidate, Tier tier) {
    int before = Math.max(0, 1 - candidate.expectedRoom(tier));
    return candidate.expectedOccupancy() * FULL_WINDOW_SECONDS
        + before * candidate.secondsPerRequest();
  }

  /** The two candidates that a prefix's hash ranks first. */
  private record WarmPair(@Nullable AgentState first, @Nullable AgentState second) {

    static WarmPair of(long prefixHash, List<AgentState> candidates) {
      if (prefixHash == 0) {
        return new WarmPair(null, null);
      }
      AgentState first = null;
      AgentState second = null;
      long firstWeight = -1;
      long secondWeight = -1;
      for (AgentState candidate : candidates) {
        long weight = RendezvousHash.weight(prefixHash, candidate.nameHash());
        if (weight > firstWeight) {
          second = first;
          secondWeight = firstWeight;
          first = candidate;
          firstWeight = weight;
        } else if (weight > secondWeight) {
          second = candidate;
          secondWeight = weight;
        }
      }
      return new WarmPair(first, second);
    }

    double coldShareAt(AgentState candidate) {
      if (candidate == first) {
        return 0;
      }
      return candidate == second ? SECOND_COLD_SHARE : 1;
    }
  }
}
