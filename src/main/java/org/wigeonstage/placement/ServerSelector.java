package org.wigeonstage.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Selects a server for a request among those that have a free slot. */
final class ServerSelector {

  /** Servers whose costs are within this range of the lowest are treated as equivalent. */
  private static final double COST_TOLERANCE_MILLIS = 4;

  /**
   * How many servers are compared when their speeds are learned. The learned cost of load is
   * several times the assumed one, so that the least loaded server would be the single choice of
   * all gateways until they know of each other's requests.
   */
  private static final int MAX_COMPARED = 3;

  private static final int MIN_COMPARED = 2;

  private final RandomGenerator random;
  private final Locality locality;
  private final boolean comparesFew;

  /**
   * Creates a selector.
   *
   * @param locality what it costs to use servers in other failure domains
   * @param comparesFew whether only a few servers, drawn at random for each request, are compared
   */
  ServerSelector(RandomGenerator random, Locality locality, boolean comparesFew) {
    this.random = random;
    this.locality = locality;
    this.comparesFew = comparesFew;
  }

  /**
   * Picks one of the cheapest servers at random, so that peers with the same figures spread, and
   * prefers servers not tried before. One in another failure domain is chosen if no near one has a
   * free slot, or if the delay at each near one exceeds that at it by the cost of crossing.
   */
  Optional<ServerState> selectCheapest(
      List<ServerState> available, PlacementRequest request, Duration now) {
    List<ServerState> candidates = untried(available, request);
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(cheapest(comparesFew ? draw(candidates) : candidates, request, now));
  }

  /** Draws a few of the servers, without repetition. */
  private List<ServerState> draw(List<ServerState> candidates) {
    int count = Math.min(MAX_COMPARED, Math.max(MIN_COMPARED, candidates.size() / 2));
    if (candidates.size() <= count) {
      return candidates;
    }
    List<ServerState> drawn = new ArrayList<>(count);
    while (drawn.size() < count) {
      ServerState candidate = candidates.get(random.nextInt(candidates.size()));
      if (!drawn.contains(candidate)) {
        drawn.add(candidate);
      }
    }
    return drawn;
  }

  private ServerState cheapest(
      List<ServerState> candidates, PlacementRequest request, Duration now) {
    double[] costs = new double[candidates.size()];
    double lowest = Double.MAX_VALUE;
    for (int i = 0; i < costs.length; i++) {
      ServerState candidate = candidates.get(i);
      costs[i] = candidate.costMillis(request, now) + locality.costMillis(candidate.server());
      lowest = Math.min(lowest, costs[i]);
    }
    double highestAccepted = lowest + COST_TOLERANCE_MILLIS;
    List<ServerState> equivalent = new ArrayList<>();
    for (int i = 0; i < costs.length; i++) {
      if (costs[i] <= highestAccepted) {
        equivalent.add(candidates.get(i));
      }
    }
    return equivalent.get(random.nextInt(equivalent.size()));
  }

  private static List<ServerState> untried(List<ServerState> available, PlacementRequest request) {
    List<ServerState> untried = new ArrayList<>();
    for (ServerState candidate : available) {
      if (!request.hasTried(candidate.server().id())) {
        untried.add(candidate);
      }
    }
    return untried.isEmpty() ? available : untried;
  }
}
