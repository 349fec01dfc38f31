package org.wigeonstage.forward;

/** The ways in which an attempt at a backend server can end without a complete response. */
public enum AttemptFailure {
  /** No connection was established, so the request was not sent. */
  NOT_SENT(true),
  /** The server declared that it did not run the request. */
  DECLINED(true),
  /** Another server responded at the address; servers don't run requests meant for others. */
  MISDIRECTED(true),
  /** The connection was closed, or received nothing in time, before a response started. */
  LOST(false),
  /** The response was malformed or belonged to another request. */
  INVALID(false),
  /** The server ran the request and responded with an error. */
  FAILED(false),
  /** The response started but was truncated. */
  CUT(false),
  /** The deadline of the request passed. */
  TIMED_OUT(false);

  private final boolean certainlyDidNotRun;

  AttemptFailure(boolean certainlyDidNotRun) {
    this.certainlyDidNotRun = certainlyDidNotRun;
  }

  /**
   * Returns whether the request certainly did not run in this attempt.
   *
   * @return whether a refusal may state that the request did not run
   */
  public boolean certainlyDidNotRun() {
    return certainlyDidNotRun;
  }
}
