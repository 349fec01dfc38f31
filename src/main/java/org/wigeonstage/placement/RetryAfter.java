package org.wigeonstage.placement;

import com.google.common.collect.Comparators;
import java.time.Duration;

/** Decides when the caller of a refused request is to return. */
final class RetryAfter {

  private static final Duration MIN = Duration.ofMillis(200);
  private static final Duration MAX = Duration.ofSeconds(3);

  /** The share of a caller's remaining time after which it can still be served when it returns. */
  private static final int DIVISOR = 3;

  private RetryAfter() {}

  /** Returns when the caller is to return, so that it still has time to be served then. */
  static Duration of(PlacementRequest request, Duration wait, Duration now) {
    Duration remaining = request.deadline().minus(now);
    Duration longest = Comparators.min(MAX, remaining.dividedBy(DIVISOR));
    return Comparators.max(MIN, Comparators.min(wait, longest));
  }
}
