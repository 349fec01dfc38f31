package org.wigeonstage.gateway;

import com.google.common.collect.Comparators;
import java.time.Duration;
import org.wigeonstage.routes.Route;
import org.wigeonstage.routes.RouteKind;

/** How long requests wait for a place and for the first part of their answer. */
final class WaitLimits {

  /** Callers leave a silent stream after this time, or after the multiples below if longer. */
  private static final Duration STREAM_PATIENCE = Duration.ofSeconds(2);

  private static final int PATIENCE_OBJECTIVES = 4;
  private static final int PATIENCE_PAUSES = 8;

  /** Refusals must reach the caller before it leaves. */
  private static final Duration PATIENCE_MARGIN = Duration.ofMillis(300);

  /** The part of its time that a plain request may wait for a place. */
  private static final double PLAIN_PATIENCE = 0.6;

  /** The part of the objective in which a first part must be here; the rest is its way. */
  private static final double ON_TIME_SHARE = 0.95;

  private WaitLimits() {}

  /** Returns how long after its arrival a request's first part is on time. */
  static Duration forTimelyFirstPart(Route route) {
    return scale(route.firstPartObjective(), ON_TIME_SHARE);
  }

  /** Returns how long a request with a time limit waits for a place before it is refused. */
  static Duration forAPlace(Route route, Duration limit) {
    Duration patience = scale(limit, PLAIN_PATIENCE);
    if (route.kind() == RouteKind.STREAMING && route.priority() > 0) {
      patience = route.firstPartObjective();
    } else if (route.kind() == RouteKind.STREAMING) {
      patience = forAPause(route);
    }
    return Comparators.min(patience, limit.minus(PATIENCE_MARGIN));
  }

  /** Returns how long after the last event of a stream its caller still waits for the next one. */
  static Duration forAPause(Route route) {
    Duration byObjective = route.firstPartObjective().multipliedBy(PATIENCE_OBJECTIVES);
    Duration byPause = route.gapObjective().multipliedBy(PATIENCE_PAUSES);
    return Comparators.max(STREAM_PATIENCE, Comparators.max(byObjective, byPause))
        .minus(PATIENCE_MARGIN);
  }

  private static Duration scale(Duration duration, double factor) {
    return Duration.ofNanos((long) (duration.toNanos() * factor));
  }
}
