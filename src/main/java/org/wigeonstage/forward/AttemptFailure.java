package org.wigeonstage.forward;

/** The ways in which an attempt at a backend server can end without a complete response. */
public enum AttemptFailure {
  /** No connection was established, so the request was not sent. */
  NOT_SENT(true),
  /** The server declared that it did not run the request. */
  DECLINED(true),
  /** Another server responded at the address; servers do not run requests meant for others. */
  MISDIRECTED(true),
  /** The connection was closed, or received nothing in time, before the head of a response. */
  LOST(false),
  /** The response was malformed or belonged to another request. */
  INVALID(false),
  /** The status of the response is none that a final response may have. */
  INVALID_STATUS(false),
  /** The server ran the request and responded with an error. */
  FAILED(false),
  /** The connection was closed, or received nothing in time, after the head of a response. */
  CUT(false),
  /** The deadline of the request passed. */
  TIMED_OUT(false);

  private final boolean certainlyDidNotRun;

  AttemptFailure(boolean certainlyDidNotRun) {
    this.certainlyDidNotRun = certainlyDidNotRun;
  }

  /**
   * Returns whether the request certainly did not run in this attempt. Only then may the gateway
   * retry a request that must not run twice, or tell the caller that it did not run.
   *
   * @return whether it certainly did not run
   */
  public boolean certainlyDidNotRun() {
    return certainlyDidNotRun;
  }
}
