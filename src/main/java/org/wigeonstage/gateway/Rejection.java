package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.Optional;
import org.wigeonstage.common.ErrorCode;

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
}
