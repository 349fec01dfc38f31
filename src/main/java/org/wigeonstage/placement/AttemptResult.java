package org.wigeonstage.placement;

/** The result of an attempt, as far as it concerns the backend server that had the request. */
public enum AttemptResult {
  /** The server sent the complete response. */
  SERVED,
  /** The server failed or sent an invalid response. */
  FAILED,
  /** The server declined the request. */
  DECLINED,
  /** Another server replied at the server's address. */
  REPLACED,
  /** The server could not be reached or became unresponsive. */
  UNREACHABLE,
  /** The attempt ended for a reason that says nothing about the server. */
  NEUTRAL
}
