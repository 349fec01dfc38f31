package org.wigeonstage.forward;

/** The ways in which an attempt at a backend server can end without its whole answer. */
public enum AttemptFailure {
  /** No connection was established, so nothing was sent. */
  NOT_SENT(true),
  /** The server promised that the request has not run. */
  DECLINED(true),
  /** Another server answered at the address; it does not run requests meant for others. */
  MISDIRECTED(true),
  /** The connection ended, or stayed silent, before an answer began. */
  LOST(false),
  /** What came was no valid answer, or the answer to another request. */
  INVALID(false),
  /** The server ran the request and answered with a failure. */
  FAILED(false),
  /** The answer broke off after it began. */
  CUT(false),
  /** The time of the request was used up. */
  TIMED_OUT(false);

  private final boolean isNotRun;

  AttemptFailure(boolean isNotRun) {
    this.isNotRun = isNotRun;
  }

  /**
   * Returns whether the request certainly has not run in this attempt.
   *
   * @return whether a refusal may promise so
   */
  public boolean isNotRun() {
    return isNotRun;
  }
}
