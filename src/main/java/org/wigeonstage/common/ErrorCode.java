package org.wigeonstage.common;

import java.util.Locale;

/** Stable codes of errors, as they stand in answers to callers, in logs and in exceptions. */
public enum ErrorCode {
  /** The body is no JSON object of the expected shape. */
  BAD_REQUEST(400),
  /** No bearer key was given, or one that belongs to no client account. */
  UNAUTHORIZED(401),
  /** The client account may not use the named operation. */
  FORBIDDEN(403),
  /** The path names nothing that the entry serves. */
  NOT_FOUND(404),
  /** No pool serves the named model. */
  UNKNOWN_MODEL(404),
  /** The body is larger than the configured maximum. */
  BODY_TOO_LARGE(413),
  /** The idempotency key was used before with another body. */
  KEY_CONFLICT(422),
  /** The idempotency key's earlier use can no longer be ruled out. */
  KEY_HISTORY_LOST(503),
  /** The request completed under its idempotency key, and its answer is no longer held. */
  ANSWER_NOT_HELD(410),
  /** The agent that decides about the idempotency key can't be reached. */
  KEY_HOME_UNREACHABLE(503),
  /** Another agent decides about the idempotency key since the pool's members changed. */
  KEY_HOME_MOVED(503),
  /** The client account is over its limit. */
  ACCOUNT_LIMIT(429),
  /** Every reachable queue is full of requests of the same or a higher tier. */
  OVERLOADED(503),
  /** No backend server of the pool can be reached. */
  NO_BACKEND_SERVER(503),
  /** The request could not be started before its deadline. */
  DEADLINE(504),
  /** The process is leaving and takes no new requests. */
  LEAVING(503),
  /** The request was withdrawn before dispatch. */
  WITHDRAWN(503),
  /** The agent had not seen the request when it was asked about it. */
  OFFER_UNSEEN(503),
  /** The offer was meant for an earlier incarnation of the agent. */
  STALE_INCARNATION(503),
  /** The answer was lost after the request had been sent to a backend server. */
  ANSWER_LOST(502),
  /** The caller went away. */
  CALLER_GONE(499),
  /** A frame between processes could not be decoded. */
  BAD_FRAME(400),
  /** A settings file or configuration document has faults. */
  INVALID_CONFIGURATION(400),
  /** The document was changed since the version that the change was built on. */
  VERSION_CONFLICT(409),
  /** The platform's object API can't be reached or refuses calls. */
  STORE_UNAVAILABLE(503),
  /** The configuration is unknown, or was not confirmed within the time that keys are good for. */
  CONFIGURATION_UNCONFIRMED(503),
  /** Whether a write to the platform's object API took effect is not known. */
  WRITE_UNDECIDED(504),
  /** The command line can't be understood. */
  USAGE(400),
  /** Input or output failed. */
  IO(500),
  /** A defect of the program. */
  INTERNAL(500);

  private final int httpStatus;

  ErrorCode(int httpStatus) {
    this.httpStatus = httpStatus;
  }

  /**
   * Returns the HTTP status that goes with this code.
   *
   * @return a status from 400 to 599
   */
  public int httpStatus() {
    return httpStatus;
  }

  /**
   * Returns the code in the form that callers see.
   *
   * @return the name in lower case with hyphens
   */
  public String text() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
