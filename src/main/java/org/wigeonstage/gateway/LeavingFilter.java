package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.Optional;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.routes.RouteKind;

/**
 * Ends requests that a leaving process may not finish, so that they go to another one.
 *
 * <p>Until the balancer has noticed, what is expected to be finished is served, because a caller
 * that is refused may be sent here again. Then streams are refused where other gateways stay, so
 * that the process is back sooner, and a little later in any case: their length is known too badly.
 * Plain requests are served until shortly before the end.
 */
final class LeavingFilter implements InboundFilter {

  /** The balancer takes a process out after two missed checks, one a second. */
  private static final Duration BALANCER_NOTICES = Duration.ofMillis(2200);

  /** Streams that begin later may be cut at the end of the grace, which none of them may be. */
  private static final Duration LAST_STREAM = Duration.ofMillis(2700);

  /** The part of the remaining grace that an answer may be expected to take. */
  private static final double USED_SHARE = 0.5;

  private static final Duration RETRY_ELSEWHERE = Duration.ofMillis(20);

  /** Another gateway has started again after about this time. */
  private static final Duration RETRY_LATER = Duration.ofMillis(700);

  private final GatewayCore core;
  private final Duration grace;
  private final ShutdownSchedule schedule;

  LeavingFilter(GatewayCore core, Duration grace) {
    this.core = core;
    this.grace = grace;
    this.schedule = new ShutdownSchedule(grace);
  }

  @Override
  public Optional<Rejection> apply(InboundRequest call) {
    if (!core.isLeaving() || canFinish(call)) {
      return Optional.empty();
    }
    return Optional.of(refusal(core.othersStay()));
  }

  /** Returns the answer to a request that the leaving process has not run. */
  static Rejection refusal(boolean othersStay) {
    return Rejection.retryable(
        ErrorCode.LEAVING, "the process is leaving", othersStay ? RETRY_ELSEWHERE : RETRY_LATER);
  }

  private boolean canFinish(InboundRequest call) {
    Duration leavingFor = core.leavingFor();
    if (core.hasStopped()) {
      return false;
    }
    if (call.route().kind() != RouteKind.STREAMING) {
      return schedule.canFinishPlain(leavingFor);
    }
    Duration lastStream = core.othersStay() ? BALANCER_NOTICES : LAST_STREAM;
    Duration remaining = grace.minus(leavingFor);
    Duration usable = Duration.ofMillis((long) (remaining.toMillis() * USED_SHARE));
    Duration expected = core.expectedDuration(call).plus(call.route().firstPartObjective());
    return leavingFor.compareTo(lastStream) <= 0 && expected.compareTo(usable) <= 0;
  }
}
