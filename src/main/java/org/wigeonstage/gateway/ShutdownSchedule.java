package org.wigeonstage.gateway;

import com.google.common.collect.Comparators;
import java.time.Duration;

/**
 * What a leaving process does when. Times count from the handling of the signal; the grace counts
 * from its sending, which is earlier.
 */
final class ShutdownSchedule {

  /** On hosts with the least processor time, signals are handled this late. */
  private static final Duration LATE_SIGNAL = Duration.ofMillis(300);

  /** The balancer takes a process out after two missed checks, one a second. */
  private static final Duration BALANCER_NOTICES = Duration.ofMillis(2500);

  /** The part of the time for open requests in which new ones are served, where it is short. */
  private static final double SERVING_SHARE = 0.5;

  /** The part of the grace that belongs to open requests; operators count on five sixths. */
  private static final double OPEN_SHARE = 0.875;

  /** Last answers are written, taken and their connections closed in this time. */
  private static final Duration LAST_ANSWERS = Duration.ofSeconds(1);

  /** The last callers close, lines are written and the process ends, on the slowest hosts too. */
  private static final Duration PROCESS_ENDS = Duration.ofMillis(400);

  /** The part of a short rest of the grace that last answers get. */
  private static final double LAST_ANSWERS_SHARE = 0.25;

  /** Plain requests last for less than this. */
  private static final Duration PLAIN_DURATION = Duration.ofSeconds(2);

  private final Duration grace;
  private final Duration openGivenUp;

  /** Creates the schedule of a process that is killed after a grace. */
  ShutdownSchedule(Duration grace) {
    this.grace = grace;
    Duration reserve = LATE_SIGNAL.plus(LAST_ANSWERS).plus(PROCESS_ENDS);
    this.openGivenUp = Comparators.max(share(grace, OPEN_SHARE), grace.minus(reserve));
  }

  /** Returns when the balancer sends no more callers here. */
  Duration balancerNoticed() {
    return Comparators.min(BALANCER_NOTICES, share(openGivenUp, SERVING_SHARE));
  }

  /** Returns when requests that are still open get their final answers. */
  Duration openGivenUp() {
    return openGivenUp;
  }

  /** Returns when all connections must be closed, so that the process ends before it is killed. */
  Duration connectionsClosed() {
    Duration rest = grace.minus(openGivenUp);
    Duration least = openGivenUp.plus(share(rest, LAST_ANSWERS_SHARE));
    return Comparators.max(least, grace.minus(LATE_SIGNAL).minus(PROCESS_ENDS));
  }

  /** Returns whether a plain request that is read now will be answered before it is given up. */
  boolean canFinishPlain(Duration leavingFor) {
    return openGivenUp.minus(leavingFor).compareTo(PLAIN_DURATION) > 0;
  }

  private static Duration share(Duration whole, double part) {
    return Duration.ofNanos((long) (whole.toNanos() * part));
  }
}
