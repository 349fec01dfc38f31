package org.wigeonstage.routing;

import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.request.RequestCost;
import org.wigeonstage.request.RequestSpec;

/**
 * Chooses the candidate with the least expected delay, where prompts that share a prefix count as
 * cached at the two candidates that the prefix's hash ranks first.
 */
final class PrefixAffinityRouter implements Router {

  /** The rate, in output tokens a second, that is assumed of an agent that has reported none. */
  private static final double ASSUMED_WORK_PER_SECOND = 400;

  /** What a saved prefill counts for, as a multiple of its time on an idle engine. */
  private static final double PREFILL_WEIGHT = 4;

  @Override
  public Optional<AgentState> choose(RequestSpec spec, List<AgentState> candidates) {
    RequestCost cost = spec.cost();
    WarmPair warm = WarmPair.of(cost.prefixHash(), candidates);
    double prefillWork =
        PREFILL_WEIGHT * cost.promptTokens() / RequestCost.PROMPT_TOKENS_PER_OUTPUT_TOKEN;
    AgentState best = null;
    double bestDelay = Double.POSITIVE_INFINITY;
    for (AgentState candidate : candidates) {
      double work = candidate.expectedWork() + cost.outputTokens();
      if (!warm.contains(candidate)) {
        work += prefillWork;
      }
      double delay = work / rateOf(candidate);
      if (delay < bestDelay) {
        best = candidate;
        bestDelay = delay;
      }
    }
    return Optional.ofNullable(best);
  }

  private static double rateOf(AgentState candidate) {
    double reported = candidate.load().workPerSecond();
    return reported > 0 ? reported : ASSUMED_WORK_PER_SECOND;
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

    boolean contains(AgentState candidate) {
      return candidate == first || candidate == second;
    }
  }
}
