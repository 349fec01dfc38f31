package org.wigeonstage.gateway;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.wigeonstage.telemetry.DecisionLog;
import org.wigeonstage.telemetry.MetricName;

/**
 * Runs the steps of requests, and ends the request in whose step an error occurs. Guarded by the
 * lock of {@link GatewayCore}.
 *
 * <p>A step of one request may run steps of others, such as the start of one that waited for its
 * slot. An error in an inner step does not interrupt the outer one: the failed request is ended
 * once the outermost step is done.
 */
final class RequestGuard {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The interval in seconds between two log lines with a stack trace. */
  private static final int LOG_INTERVAL_SECONDS = 10;

  private final MetricRegistry metrics;
  private final Deque<FailedStep> failedSteps = new ArrayDeque<>();
  private int depth;

  private record FailedStep(ForwardedRequest request, String step, Throwable cause) {}

  RequestGuard(MetricRegistry metrics) {
    this.metrics = metrics;
  }

  /**
   * Runs a step of a request.
   *
   * @param step the name of the step, for the log and the metrics
   */
  void run(ForwardedRequest request, String step, Runnable action) {
    depth++;
    try {
      action.run();
    } catch (RuntimeException | Error e) {
      failedSteps.addLast(new FailedStep(request, step, e));
    } finally {
      depth--;
    }
    if (depth == 0) {
      endFailedRequests();
    }
  }

  private void endFailedRequests() {
    FailedStep failed = failedSteps.pollFirst();
    while (failed != null) {
      depth++;
      try {
        end(failed);
      } finally {
        depth--;
      }
      failed = failedSteps.pollFirst();
    }
  }

  private void end(FailedStep failed) {
    ForwardedRequest request = failed.request();
    try {
      recordFailure(request.log().requestId(), failed.step(), failed.cause());
      request.endAfterError();
    } catch (RuntimeException | Error e) {
      logger.atSevere().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).withCause(e).log(
          "a failed request could not be ended with a response; its connection is closed");
      request.discard();
    }
  }

  /** Counts and logs an error in a step of a request. */
  void recordFailure(String requestId, String step, Throwable cause) {
    metrics.counter(MetricName.of("requests.errors", "step", step)).inc();
    DecisionLog.write(
        "request-failed", "request", requestId, "step", step, "error", cause.toString());
    logger.atSevere().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).withCause(cause).log(
        "the step %s of a request failed; this request is ended", step);
  }
}
