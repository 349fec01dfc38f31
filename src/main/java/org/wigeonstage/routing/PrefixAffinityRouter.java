package org.wigeonstage.routing;

import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.request.RequestCost;
import org.wigeonstage.request.RequestSpec;
import org.wigeonstage.request.Tier;

/**
 * Chooses the candidate with the least expected delay. A prompt prefix is assumed to be cached at
 * the candidate that the hash of the prefix ranks first, and partly cached at the second.
 */
final class PrefixAffinityRouter implements Router {

  /** The number of uncached prompt tokens that count as one second of delay. */
  private static final double UNCACHED_TOKENS_PER_SECOND = 10_000;

  /** The share of the prompt that the second-ranked candidate is expected to process again. */
  private static final double SECOND_UNCACHED_SHARE = 0.7;

  /** The delay that a full dispatch window counts for, compared with an empty one. */
  private static final double FULL_WINDOW_DELAY_SECONDS = 0.5;

  @Override
  public Optional<AgentState> choose(RequestSpec spec, List<AgentState> candidates) {
    RequestCost cost = spec.cost();
    CachingCandidates caching = CachingCandidates.of(cost.prefixHash(), candidates);
    double uncachedSeconds = cost.promptTokens() / UNCACHED_TOKENS_PER_SECOND;
    AgentState best = null;
    double lowestDelaySeconds = Double.POSITIVE_INFINITY;
    for (AgentState candidate : candidates) {
      double delaySeconds =
          queueDelaySeconds(candidate, spec.tier())
              + uncachedSeconds * caching.uncachedShareAt(candidate);
      if (delaySeconds < lowestDelaySeconds) {
        best = candidate;
        lowestDelaySeconds = delaySeconds;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns the expected delay at a candidate due to its load, in seconds. A request starts
   * immediately if a slot is free, and otherwise waits until enough other requests have finished.
   */
  private static double queueDelaySeconds(AgentState candidate, Tier tier) {
    // Without a free slot, one of the running requests must finish, and one more for each request
    // that waits ahead.
    int requestsToFinishFirst = Math.max(0, 1 - candidate.expectedHeadroom(tier));
    return candidate.expectedOccupancy() * FULL_WINDOW_DELAY_SECONDS
        + requestsToFinishFirst * candidate.secondsPerRequest();
  }

  /**
   * The candidates that the hash of a prefix ranks first and second; null if there is no prefix.
   */
  private record CachingCandidates(@Nullable AgentState first, @Nullable AgentState second) {

    static CachingCandidates of(long prefixHash, List<AgentState> candidates) {
      if (prefixHash == 0) {
        return new CachingCandidates(null, null);
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
      return new CachingCandidates(first, second);
    }

    double uncachedShareAt(AgentState candidate) {
      if (candidate == first) {
        return 0;
      }
      return candidate == second ? SECOND_UNCACHED_SHARE : 1;
    }
  }
}
