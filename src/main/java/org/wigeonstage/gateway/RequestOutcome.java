package org.wigeonstage.gateway;

/** The outcome of a request that passed all filters. */
enum RequestOutcome {
  /** The caller got the complete response of a backend server. */
  SERVED,
  /** The caller got an error response from the gateway itself. */
  REJECTED,
  /** The caller disconnected before its response was complete. */
  CALLER_GONE,
  /** The response was aborted after part of it had reached the caller. */
  BROKEN_OFF
}
