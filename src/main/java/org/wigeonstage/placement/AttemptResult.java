package org.wigeonstage.placement;

/** The result of an attempt, as far as it concerns the backend server. */
public enum AttemptResult {
  /** The server sent the complete response. */
  SERVED,
  /**
   * The server failed, sent an invalid response, or closed the connection after the head of a
   * response.
   */
  FAILED,
  /** The server declined the request. */
  DECLINED,
  /** Another server responded at the server's address, so the attempt was misdirected. */
  REPLACED,
  /**
   * No connection to the server could be established; it becomes suspect, and is tried by one
   * request at a time after a pause.
   */
  NOT_CONNECTED,
  /**
   * The server closed the connection before the head of a response, or became unresponsive; it
   * becomes suspect.
   */
  UNREACHABLE,
  /** The attempt ended for a reason that says nothing about the server. */
  NEUTRAL
}
