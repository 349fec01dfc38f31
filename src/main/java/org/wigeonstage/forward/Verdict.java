package org.wigeonstage.forward;

/** The next step for a request after an attempt ended without a complete response. */
public enum Verdict {
  /** Send the request to another backend server. */
  RETRY,
  /** Resume the stream at another backend server. */
  RESUME,
  /** Resume the stream at another backend server once the retry budget allows it. */
  RESUME_LATER,
  /**
   * Respond that the response was lost, like {@link #REPORT_UNKNOWN}. The backend server responded
   * with an error, which is not forwarded because it was withheld for a retry that is not made.
   */
  PASS_ON,
  /** Respond that the request did not run. */
  REFUSE,
  /** Respond that the request may have run. */
  REPORT_UNKNOWN,
  /** Respond that the deadline has passed and that the request may have run. */
  REPORT_TIMEOUT,
  /** Close the caller's connection, so that the caller sees that the response is incomplete. */
  BREAK_OFF
}
