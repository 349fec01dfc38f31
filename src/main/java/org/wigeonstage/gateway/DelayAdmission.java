package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import org.wigeonstage.placement.Urgency;

/**
 * Decides which requests are too late already at a process that is behind, by urgency.
 *
 * <p>Working on a request that can't be in time any more delays all others. The most urgent
 * requests are always accepted, because they are of use also when late. Each less urgent one is
 * accepted for a smaller part of the shortest objective up to its urgency, so that no request is
 * rejected before a less urgent one of the same age.
 */
final class DelayAdmission {

  private final TreeMap<Urgency, Duration> objectives = new TreeMap<>();

  /**
   * Returns whether a request is too late.
   *
   * @param urgency the urgency of the request
   * @param objective the time from its arrival within which its first part is on time
   * @param age the time since its arrival
   */
  boolean isTooLate(Urgency urgency, Duration objective, Duration age) {
    if (objective.isZero()) {
      return false; // the route has no objective
    }
    objectives.merge(urgency, objective, DelayAdmission::shorter);
    Map<Urgency, Duration> moreUrgent = objectives.headMap(urgency);
    Duration shortest = objective;
    for (Duration other : moreUrgent.values()) {
      shortest = shorter(shortest, other);
    }
    return !moreUrgent.isEmpty() && age.compareTo(shortest.dividedBy(moreUrgent.size())) >= 0;
  }

  private static Duration shorter(Duration a, Duration b) {
    return a.compareTo(b) <= 0 ? a : b;
  }
}
