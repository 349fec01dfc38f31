package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.routes.Route;

/** Rejects requests that can't be served in time because this process is behind. */
final class DelayFilter implements InboundFilter {

  /** Callers return on a new connection, often at another gateway, which may be on time. */
  private static final int MIN_RETRY_AFTER_MILLIS = 20;

  private static final int MAX_RETRY_AFTER_MILLIS = 200;

  private final GatewayCore core;
  private final ReadLagMonitor readLag;
  private final DelayAdmission admission = new DelayAdmission();
  private final SplittableRandom random = new SplittableRandom();

  DelayFilter(GatewayCore core, ReadLagMonitor readLag) {
    this.core = core;
    this.readLag = readLag;
  }

  @Override
  public Optional<Rejection> apply(InboundRequest request) {
    Route route = request.route();
    Duration age = core.now().minus(request.arrivedAt());
    if (!admission.isTooLate(request.urgency(), route.firstPartObjective(), age)
        || !readLag.isBehind()) {
      return Optional.empty();
    }
    core.count("callers.rejectedBehind");
    int millis = random.nextInt(MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
    return Optional.of(
        Rejection.retryable(
            ErrorCode.OVERLOADED,
            "the gateway is behind with the requests that it has received",
            Duration.ofMillis(millis)));
  }
}
