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
   * Occurs if a server error was withheld from the caller for a retry, but the retry is not made
   * because too little time is left before the deadline. The caller gets the error "answer lost",
   * as for {@link #REPORT_UNKNOWN}; the server's error is not passed on.
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
