package org.wigeonstage.placement;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

/**
 * Decides when the callers of refused requests are to return.
 *
 * <p>The returns are spread at random over the time from which capacity is expected to the latest
 * useful return, in one part for each urgency, the most urgent first. If all callers get the same
 * time they return together, and are refused again.
 */
final class RetryAfter {

  private static final Duration MIN = Duration.ofMillis(200);
  private static final Duration MAX = Duration.ofSeconds(3);

  /** The share of a caller's remaining time after which it can still be served when it returns. */
  private static final int DIVISOR = 3;

  /** The part of the latest useful return at which the spread begins if that is less than MIN. */
  private static final int SPREAD_DIVISOR = 2;

  /** The part of the latest useful return that capacity may be expected at, at most. */
  private static final int MAX_START_DIVISOR = 2;

  private final RandomGenerator random;
  private final TreeSet<Urgency> urgencies = new TreeSet<>();

  RetryAfter(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns when the caller is to return, so that it still has time to be served then.
   *
   * @param request the refused request
   * @param wait the time after which capacity is expected
   * @param now the current time
   */
  Duration of(PlacementRequest request, Duration wait, Duration now) {
    urgencies.add(request.urgency());
    Duration remaining = request.deadline().minus(now);
    Duration latest = Comparators.min(MAX, remaining.dividedBy(DIVISOR));
    Duration min = Comparators.min(MIN, latest.dividedBy(SPREAD_DIVISOR));
    Duration earliest =
        Comparators.max(min, Comparators.min(wait, latest.dividedBy(MAX_START_DIVISOR)));
    int part = urgencies.headSet(request.urgency()).size();
    double share = (part + random.nextDouble()) / urgencies.size();
    Duration spread = Duration.ofNanos((long) (share * latest.minus(earliest).toNanos()));
    return Comparators.max(Duration.ofMillis(1), earliest.plus(spread));
  }
}
