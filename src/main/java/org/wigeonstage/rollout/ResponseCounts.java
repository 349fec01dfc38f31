package org.wigeonstage.rollout;

/**
 * The responses to the requests of a route from a server of the target version, or from all servers
 * of other versions, since the order was known.
 *
 * @param route the route
 * @param serverId the server of the target version, or {@link #OTHER_VERSIONS}
 * @param responses the number of responses, including failures
 * @param failures the number of failures
 * @param firstParts the times to the first part
 * @param durations the times to the end of the responses
 */
public record ResponseCounts(
    String route,
    String serverId,
    int responses,
    int failures,
    TimeHistogram firstParts,
    TimeHistogram durations) {

  /** Stands for all servers of other versions than the target. */
  public static final String OTHER_VERSIONS = "";

  boolean isOfTarget() {
    return !serverId.equals(OTHER_VERSIONS);
  }

  ResponseCounts withoutTimes() {
    return new ResponseCounts(
        route, serverId, responses, failures, TimeHistogram.EMPTY, TimeHistogram.EMPTY);
  }

  /** Returns the difference; 0 instead of a negative one. */
  ResponseCounts minus(ResponseCounts earlier) {
    return new ResponseCounts(
        route,
        serverId,
        Math.max(0, responses - earlier.responses),
        Math.max(0, failures - earlier.failures),
        firstParts.minus(earlier.firstParts),
        durations.minus(earlier.durations));
  }

  ResponseCounts plus(ResponseCounts other) {
    return new ResponseCounts(
        route,
        serverId,
        responses + other.responses,
        failures + other.failures,
        firstParts.plus(other.firstParts),
        durations.plus(other.durations));
  }
}
