package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.TreeSet;
import org.wigeonstage.placement.Urgency;

/**
 * Decides which requests are too late already at a process that is behind, by urgency.
 *
 * <p>Working on a request that can't be in time any more delays all others. The most urgent
 * requests are always accepted, because they are of use also when late.
 */
final class DelayAdmission {

  private final TreeSet<Urgency> urgencies = new TreeSet<>();

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
    urgencies.add(urgency);
    return urgencies.lower(urgency) != null && age.compareTo(objective) >= 0;
  }
}
