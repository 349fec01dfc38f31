package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.Optional;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.placement.RefusalReason;

/**
 * An answer of the gateway's own, in place of a backend server's.
 *
 * @param code the stable code, which determines the status
 * @param detail what happened
 * @param retryAfter when the caller may come back
 */
record Rejection(ErrorCode code, String detail, Optional<Duration> retryAfter) {

  static Rejection of(ErrorCode code, String detail) {
    return new Rejection(code, detail, Optional.empty());
  }

  static Rejection retryable(ErrorCode code, String detail, Duration retryAfter) {
    return new Rejection(code, detail, Optional.of(retryAfter));
  }

  /** Returns the answer to a request that no backend server can take. */
  static Rejection of(RefusalReason reason, Duration retryAfter) {
    ErrorCode code =
        reason == RefusalReason.NO_SERVER ? ErrorCode.NO_BACKEND_SERVER : ErrorCode.OVERLOADED;
    return retryable(code, detailOf(reason), retryAfter);
  }

  private static String detailOf(RefusalReason reason) {
    return switch (reason) {
      case NO_SERVER -> "no backend server of the pool is ready";
      case QUEUE_TOO_LONG -> "too many requests wait";
      case WAITED_TOO_LONG -> "no backend server had a place in time";
    };
  }
}
