package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.Optional;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.http.ProblemDetails;
import org.wigeonstage.placement.RefusalReason;
import org.wigeonstage.request.HeaderFields;

/**
 * An error response that the gateway itself sends to a caller, without a backend server.
 *
 * @param code the error code, which determines the HTTP status
 * @param detail what happened, for the caller's developers
 * @param retryAfter how long the caller should wait before it retries, or empty if a retry is of no
 *     use
 */
record Rejection(ErrorCode code, String detail, Optional<Duration> retryAfter) {

  private static final double MILLIS_PER_SECOND = 1000;

  /** A server that declined a request has a free slot again after about this time. */
  private static final Duration DECLINED_RETRY_AFTER = Duration.ofMillis(300);

  /** An error may be due to what happens at the same time, such as a lack of memory. */
  private static final Duration ERROR_RETRY_AFTER = Duration.ofMillis(500);

  static Rejection of(ErrorCode code, String detail) {
    return new Rejection(code, detail, Optional.empty());
  }

  static Rejection retryable(ErrorCode code, String detail, Duration retryAfter) {
    return new Rejection(code, detail, Optional.of(retryAfter));
  }

  /** Returns the response to a request that no backend server can accept. */
  static Rejection of(RefusalReason reason, Duration retryAfter) {
    ErrorCode code =
        reason == RefusalReason.NO_SERVER ? ErrorCode.NO_BACKEND_SERVER : ErrorCode.OVERLOADED;
    return retryable(code, detailOf(reason), retryAfter);
  }

  /** Returns the response to a request that all tried backend servers declined. */
  static Rejection ofDeclined() {
    return retryable(
        ErrorCode.NO_BACKEND_SERVER,
        "no backend server accepted the request",
        DECLINED_RETRY_AFTER);
  }

  /**
   * Returns the response to a request that ended because of an error in this process.
   *
   * @param mayHaveRun whether it may have run at a backend server
   */
  static Rejection ofError(boolean mayHaveRun) {
    return mayHaveRun
        ? of(ErrorCode.ANSWER_LOST, "an internal error occurred; the request may have run")
        : retryable(
            ErrorCode.WITHDRAWN,
            "an internal error occurred before the request was sent",
            ERROR_RETRY_AFTER);
  }

  /** Returns the response to a request that is not sent to a server because of its prompt. */
  static Rejection ofHeldPrompt(Duration retryAfter) {
    return retryable(
        ErrorCode.PROMPT_HELD, "a part of the prompt crashes backend servers", retryAfter);
  }

  /** Returns the header fields of the response. */
  HeaderFields headerFields() {
    HeaderFields fields = HeaderFields.NONE.with("Content-Type", ProblemDetails.MEDIA_TYPE);
    return retryAfter.map(delay -> fields.with("Retry-After", secondsOf(delay))).orElse(fields);
  }

  private static String secondsOf(Duration delay) {
    return Double.toString(delay.toMillis() / MILLIS_PER_SECOND);
  }

  private static String detailOf(RefusalReason reason) {
    return switch (reason) {
      case NO_SERVER -> "no backend server of the pool is ready";
      case QUEUE_TOO_LONG -> "too many requests are waiting";
      case WAITED_TOO_LONG -> "no backend server had a free slot";
    };
  }
}
