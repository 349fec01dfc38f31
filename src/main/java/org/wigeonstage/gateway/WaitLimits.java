package org.wigeonstage.gateway;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.Optional;
import org.wigeonstage.placement.PlacementRequest;
import org.wigeonstage.routes.Route;
import org.wigeonstage.routes.RouteKind;

/** Limits how long requests wait for a slot, and streams for the next event. */
final class WaitLimits {

  /** Callers wait for the next event of a stream at least this long before they disconnect. */
  private static final Duration MIN_STREAM_WAIT = Duration.ofSeconds(2);

  /** Callers wait for an event at least this multiple of the objective for the first part. */
  private static final int FIRST_PART_WAIT_FACTOR = 4;

  /** Callers wait for an event at least this multiple of the objective for the event gap. */
  private static final int GAP_WAIT_FACTOR = 8;

  /** Time for a rejection to reach the caller before it disconnects. */
  private static final Duration REJECTION_MARGIN = Duration.ofMillis(300);

  /**
   * Part of the objective that less urgent streams may wait in the queue. In SimulatedPool, an
   * eighth gave more worth than a quarter, half and the whole, under each overload tried.
   */
  private static final int QUEUE_TIME_DIVISOR = 8;

  /** The interval of the checks that reject requests; the time in the queue ends one earlier. */
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(20);

  /** Share of its time limit that a plain request may wait for a slot. */
  private static final double PLAIN_WAIT_SHARE = 0.6;

  /** Share of the objective in which the first part must arrive; the rest is its transit time. */
  private static final double ON_TIME_SHARE = 0.95;

  private WaitLimits() {}

  /**
   * Returns the request for placement of a caller's request.
   *
   * @param inbound the caller's request
   * @param timeLimit the time from its arrival until the response must be complete
   * @param expectedEvents the expected number of events in the response
   */
  static PlacementRequest placementOf(
      InboundRequest inbound, Duration timeLimit, long expectedEvents) {
    Route route = inbound.route();
    Duration arrivedAt = inbound.arrivedAt();
    PlacementRequest placement =
        new PlacementRequest(
            inbound.fields().requestId(),
            inbound.urgency(),
            arrivedAt,
            arrivedAt.plus(maxTimeToFirstPart(route)),
            arrivedAt.plus(maxSlotWait(route, timeLimit)),
            inbound.fields().promptTokens(),
            expectedEvents,
            arrivedAt.plus(timeLimit));
    maxQueueTime(route).ifPresent(placement::limitQueueTime);
    inbound.account().ifPresent(account -> placement.assignAccount(account.name()));
    return placement;
  }

  /** Returns the time after a request's arrival until which its first part is on time. */
  static Duration maxTimeToFirstPart(Route route) {
    return scale(route.firstPartObjective(), ON_TIME_SHARE);
  }

  /**
   * Returns how long a request with a time limit waits for a slot before it is rejected. Streams of
   * the most urgent routes wait as long as their callers do, other streams up to the objective for
   * the first part, and plain requests for a share of their time limit.
   */
  static Duration maxSlotWait(Route route, Duration timeLimit) {
    Duration maxWait = scale(timeLimit, PLAIN_WAIT_SHARE);
    if (route.kind() == RouteKind.STREAMING && route.rank() > 0) {
      maxWait = route.firstPartObjective();
    } else if (route.kind() == RouteKind.STREAMING) {
      maxWait = maxWaitForNextEvent(route);
    }
    return Comparators.min(maxWait, timeLimit.minus(REJECTION_MARGIN));
  }

  /**
   * Returns how long a request waits in the queue for its first slot, or empty if as long as {@link
   * #maxSlotWait}. Streams of less urgent routes wait for a small part of their objective, so that
   * the time that is left suffices for the first part, and a rejection leaves time to return.
   * Starts that are later take slots from requests that are in time.
   */
  static Optional<Duration> maxQueueTime(Route route) {
    if (route.kind() != RouteKind.STREAMING || route.rank() == 0) {
      return Optional.empty();
    }
    Duration untilRejection = route.firstPartObjective().dividedBy(QUEUE_TIME_DIVISOR);
    Duration shortest = untilRejection.dividedBy(2);
    return Optional.of(Comparators.max(shortest, untilRejection.minus(CHECK_INTERVAL)));
  }

  /**
   * Returns how long after an event of a stream to try to send the next one: the time that its
   * caller waits, less the time for a rejection to reach it.
   */
  static Duration maxWaitForNextEvent(Route route) {
    Duration byFirstPart = route.firstPartObjective().multipliedBy(FIRST_PART_WAIT_FACTOR);
    Duration byGap = route.gapObjective().multipliedBy(GAP_WAIT_FACTOR);
    return Comparators.max(MIN_STREAM_WAIT, Comparators.max(byFirstPart, byGap))
        .minus(REJECTION_MARGIN);
  }

  private static Duration scale(Duration duration, double factor) {
    return Duration.ofNanos((long) (duration.toNanos() * factor));
  }
}
