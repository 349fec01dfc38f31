package org.wigeonstage.gateway;

import org.wigeonstage.http.ServerExchange;

/**
 * Ends a request with a final response, or aborts the response that has started. Guarded by the
 * lock of {@link GatewayCore}.
 */
final class RequestEnding {

  private final GatewayCore core;
  private final ForwardedRequest request;
  private final CallerResponse response;
  private boolean finished;

  RequestEnding(GatewayCore core, ForwardedRequest request, CallerResponse response) {
    this.core = core;
    this.request = request;
    this.response = response;
  }

  private ServerExchange exchange() {
    return request.inbound().exchange();
  }

  boolean isFinished() {
    return finished;
  }

  /** Marks the request as finished, so that it takes no further steps. */
  void markFinished() {
    finished = true;
  }

  /** Ends a request without a further attempt: aborts its response if started, or rejects it. */
  void rejectOrAbort(Rejection ifMayHaveRun, Rejection ifNotRun) {
    if (response.hasStarted()) {
      abort();
    } else {
      reject(request.mayHaveRun() ? ifMayHaveRun : ifNotRun);
    }
  }

  /** Ends the request after an error in this process, unless its response has ended. */
  void endAfterError() {
    if (exchange().hasEnded()) {
      finished = true;
      core.finish(request, RequestOutcome.REJECTED);
    } else {
      rejectOrAbort(Rejection.ofError(true), Rejection.ofError(false));
    }
  }

  /** Aborts the response. */
  void abort() {
    finished = true;
    response.logTo(
        request
            .log()
            .addEntry("broken-off")
            .put("lastEvent", response.lastEventId().orElse(-1))
            .markNotable(),
        core.now());
    exchange().abort();
    core.finish(request, RequestOutcome.BROKEN_OFF);
  }

  /** Responds with a rejection. */
  void reject(Rejection rejection) {
    finished = true;
    core.reject(request.inbound(), rejection, request.log());
    core.finish(request, RequestOutcome.REJECTED);
  }

  /** Closes the caller's connection, because not even the end of the request succeeds. */
  void discard() {
    finished = true;
    try {
      core.withdraw(request);
      exchange().abort();
    } finally {
      core.finish(request, RequestOutcome.BROKEN_OFF);
    }
  }
}
