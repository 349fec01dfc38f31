package org.wigeonstage.gateway;

import com.google.common.collect.Comparators;
import java.time.Duration;

/**
 * Divides the grace period of a leaving process into phases: the load balancer removes the process;
 * open requests finish until the request deadline; the last responses are delivered until the
 * connection deadline; the process exits.
 *
 * <p>All times count from the handling of the shutdown signal. The grace period counts from the
 * sending of the signal, which is earlier.
 *
 * <p>A process that gets its processor time late also writes the last responses and exits late. It
 * ends the open requests earlier, by the scheduling delay that it has measured.
 */
final class ShutdownSchedule {

  /** Delay of signal handling on the hosts with the least processor time. */
  private static final Duration SIGNAL_DELAY = Duration.ofMillis(300);

  /** The load balancer removes a process after two failed health checks, one per second. */
  private static final Duration BALANCER_DELAY = Duration.ofMillis(2500);

  /** Maximum share of the time until the request deadline to wait for the load balancer. */
  private static final double MAX_BALANCER_SHARE = 0.5;

  /** Minimum share of the grace period until the request deadline, if there is no delay. */
  private static final double MIN_REQUEST_SHARE = 0.875;

  /** Share of the grace period that open requests get in any case; operators rely on it. */
  private static final double GUARANTEED_REQUEST_SHARE = 5.0 / 6;

  /** Time to write and deliver the last responses and to close their connections. */
  private static final Duration DELIVERY_TIME = Duration.ofSeconds(1);

  /**
   * Time for the last connections to close and the process to flush its log and exit. It suffices
   * on the slowest hosts, too.
   */
  private static final Duration EXIT_TIME = Duration.ofMillis(400);

  /** Minimum share of the time after the request deadline to deliver the last responses. */
  private static final double MIN_DELIVERY_SHARE = 0.25;

  /** Plain (non-streaming) requests take less time than this. */
  private static final Duration MAX_PLAIN_DURATION = Duration.ofSeconds(2);

  private final Duration grace;
  private final Duration schedulingDelay;
  private final Duration requestDeadline;

  /** Creates the schedule of a process that is killed at the end of the grace period. */
  ShutdownSchedule(Duration grace) {
    this(grace, Duration.ZERO);
  }

  /**
   * Creates the schedule of a process that is killed at the end of the grace period.
   *
   * @param grace the grace period
   * @param schedulingDelay the time for which the process may get no processor time
   */
  ShutdownSchedule(Duration grace, Duration schedulingDelay) {
    this.grace = grace;
    this.schedulingDelay = schedulingDelay;
    Duration reserve = SIGNAL_DELAY.plus(DELIVERY_TIME).plus(EXIT_TIME);
    Duration withoutDelay = Comparators.max(share(grace, MIN_REQUEST_SHARE), grace.minus(reserve));
    this.requestDeadline =
        Comparators.max(
            share(grace, GUARANTEED_REQUEST_SHARE), withoutDelay.minus(schedulingDelay));
  }

  /** Returns the time until the load balancer sends no more callers to this process. */
  Duration balancerDelay() {
    return Comparators.min(BALANCER_DELAY, share(requestDeadline, MAX_BALANCER_SHARE));
  }

  /** Returns the time after which requests that are still open get a final response. */
  Duration requestDeadline() {
    return requestDeadline;
  }

  /** Returns the time after which all connections must be closed, so that the process can exit. */
  Duration connectionDeadline() {
    Duration remaining = grace.minus(requestDeadline);
    Duration earliest = requestDeadline.plus(share(remaining, MIN_DELIVERY_SHARE));
    Duration latest = grace.minus(SIGNAL_DELAY).minus(EXIT_TIME).minus(schedulingDelay);
    return Comparators.max(earliest, latest);
  }

  /** Returns whether a plain request that is read now will finish before the request deadline. */
  boolean canFinishPlain(Duration leavingTime) {
    return requestDeadline.minus(leavingTime).compareTo(MAX_PLAIN_DURATION) > 0;
  }

  private static Duration share(Duration duration, double factor) {
    return Duration.ofNanos((long) (duration.toNanos() * factor));
  }
}
