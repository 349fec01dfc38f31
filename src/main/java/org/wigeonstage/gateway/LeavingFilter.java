package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.Optional;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.routes.RouteKind;

/**
 * Rejects requests that a leaving gateway might not finish, so that callers send them to another
 * one.
 *
 * <p>Until the load balancer has removed the gateway, every request that is expected to finish in
 * time is admitted, because a rejected caller may be sent here again. After that, streams are
 * rejected: at once if a peer is known that is not leaving, so that this one restarts sooner, and
 * slightly later otherwise, because their duration is hard to predict. Plain (non-streaming)
 * requests are admitted until shortly before the end.
 */
final class LeavingFilter implements InboundFilter {

  /**
   * Time since the start of leaving after which streams are rejected if a peer is known that is not
   * leaving. By then, the load balancer has removed the process, after two failed health checks,
   * one per second.
   */
  private static final Duration LAST_STREAM_START_WITH_PEER = Duration.ofMillis(2200);

  /**
   * Time since the start of leaving after which streams are rejected in any case. Streams that
   * start later might be truncated at the end of the grace period, and none may be.
   */
  private static final Duration LAST_STREAM_START_WITHOUT_PEER = Duration.ofMillis(2700);

  /** Share of the remaining grace period that a response may be expected to take. */
  private static final double MAX_DURATION_SHARE = 0.5;

  private static final Duration RETRY_AT_PEER_AFTER = Duration.ofMillis(20);

  /** If all gateways are leaving, one of them has restarted after about this time. */
  private static final Duration RETRY_AFTER_RESTART = Duration.ofMillis(700);

  private final GatewayCore core;
  private final Duration grace;
  private final ShutdownSchedule schedule;

  LeavingFilter(GatewayCore core, Duration grace) {
    this.core = core;
    this.grace = grace;
    this.schedule = new ShutdownSchedule(grace);
  }

  @Override
  public Optional<Rejection> apply(InboundRequest request) {
    if (!core.isLeaving() || canFinish(request)) {
      return Optional.empty();
    }
    return Optional.of(rejection(core.hasNonLeavingPeer()));
  }

  /**
   * Returns the response to a request that the leaving process has not run.
   *
   * @param hasNonLeavingPeer whether a peer whose usage is known, perhaps a stopped one, is not
   *     leaving
   */
  static Rejection rejection(boolean hasNonLeavingPeer) {
    return Rejection.retryable(
        ErrorCode.LEAVING,
        "the gateway is shutting down",
        hasNonLeavingPeer ? RETRY_AT_PEER_AFTER : RETRY_AFTER_RESTART);
  }

  private boolean canFinish(InboundRequest request) {
    Duration leavingTime = core.leavingTime();
    if (core.hasStoppedAccepting()) {
      return false;
    }
    if (request.route().kind() != RouteKind.STREAMING) {
      return schedule.canFinishPlain(leavingTime);
    }
    Duration lastStart =
        core.hasNonLeavingPeer() ? LAST_STREAM_START_WITH_PEER : LAST_STREAM_START_WITHOUT_PEER;
    Duration remaining = grace.minus(leavingTime);
    Duration maxDuration = Duration.ofMillis((long) (remaining.toMillis() * MAX_DURATION_SHARE));
    Duration expected = core.expectedDuration(request).plus(request.route().firstPartObjective());
    return leavingTime.compareTo(lastStart) <= 0 && expected.compareTo(maxDuration) <= 0;
  }
}
