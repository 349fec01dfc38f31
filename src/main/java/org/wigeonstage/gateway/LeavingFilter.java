package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.Optional;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.routes.RouteKind;

/**
 * Ends requests that a leaving process is not expected to finish, so that they go to another one.
 *
 * <p>What can be finished is still served, because all gateways may be leaving in turn, and a
 * caller that is refused may find no other.
 */
final class LeavingFilter implements InboundFilter {

  /** The part of the remaining grace that an answer may be expected to take. */
  private static final double USED_SHARE = 0.5;

  /** The balancer takes a process out after two missed checks, one a second. */
  private static final Duration BALANCER_NOTICES = Duration.ofMillis(2200);

  private static final Duration RETRY_AFTER = Duration.ofMillis(20);

  private final GatewayCore core;
  private final Duration grace;

  LeavingFilter(GatewayCore core, Duration grace) {
    this.core = core;
    this.grace = grace;
  }

  @Override
  public Optional<Rejection> apply(InboundCall call) {
    if (!core.isLeaving()) {
      return Optional.empty();
    }
    boolean balancerHasNoticed = core.leavingFor().compareTo(BALANCER_NOTICES) > 0;
    boolean isStream = call.route().kind() == RouteKind.STREAMING;
    if (isStream && balancerHasNoticed && core.othersStay()) {
      return leaving();
    }
    Duration remaining = grace.minus(core.leavingFor());
    Duration usable = Duration.ofMillis((long) (remaining.toMillis() * USED_SHARE));
    Duration expected = core.expectedDuration(call).plus(call.route().firstPartObjective());
    if (expected.compareTo(usable) <= 0) {
      return Optional.empty();
    }
    return leaving();
  }

  private static Optional<Rejection> leaving() {
    return Optional.of(
        Rejection.retryable(ErrorCode.LEAVING, "the process is leaving", RETRY_AFTER));
  }
}
