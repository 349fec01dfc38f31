package org.wigeonstage.common;

import java.util.Locale;

/** Stable error codes, used in responses to callers, in logs and in exceptions. */
public enum ErrorCode {
  /** The request is malformed, or its body is not a JSON object of the expected form. */
  BAD_REQUEST(400),
  /** The API key or operator key is missing or not valid. */
  UNAUTHORIZED(401),
  /** The operation needs an operator key, and this process has none in its settings. */
  FORBIDDEN(403),
  /** The path is unknown. */
  NOT_FOUND(404),
  /** No pool serves the requested model. */
  UNKNOWN_MODEL(404),
  /** The body exceeds the configured maximum size. */
  BODY_TOO_LARGE(413),
  /** The idempotency key was used before with another request. */
  KEY_CONFLICT(422),
  /** Earlier use of the idempotency key can no longer be ruled out. */
  KEY_HISTORY_LOST(503),
  /** The request with this idempotency key completed, and its response is no longer retained. */
  ANSWER_NOT_HELD(410),
  /** The home agent of the idempotency key, which decides about it, is unreachable. */
  KEY_HOME_UNREACHABLE(503),
  /** The idempotency key has moved to another home agent because the pool's members changed. */
  KEY_HOME_MOVED(503),
  /** The client account has exceeded its quota or rate limit. */
  ACCOUNT_LIMIT(429),
  /**
   * All reachable queues are full of requests of the same or a higher urgency, or no slot became
   * free in time.
   */
  OVERLOADED(503),
  /** No backend server of the pool is reachable. */
  NO_BACKEND_SERVER(503),
  /** The deadline of the request passed before it was started or before its response ended. */
  DEADLINE(504),
  /** The process is leaving and accepts no new requests. */
  LEAVING(503),
  /** The request was withdrawn before dispatch. */
  WITHDRAWN(503),
  /** The agent had not received the offer of the request when the entry queried it. */
  OFFER_UNSEEN(503),
  /** The offer was meant for an earlier incarnation of the agent. */
  STALE_INCARNATION(503),
  /** The response was lost after the request had been sent to a backend server. */
  ANSWER_LOST(502),
  /** The caller disconnected. */
  CALLER_GONE(499),
  /** A frame between processes could not be decoded. */
  BAD_FRAME(400),
  /** A settings file or configuration document has faults. */
  INVALID_CONFIGURATION(400),
  /** The document has changed since the version on which the change is based. */
  VERSION_CONFLICT(409),
  /** The platform's object store is unreachable or refuses calls. */
  STORE_UNAVAILABLE(503),
  /** The configuration is unknown, or too old to decide which API keys are still valid. */
  CONFIGURATION_UNCONFIRMED(503),
  /** It is unknown whether a write to the platform's object store took effect. */
  WRITE_UNDECIDED(504),
  /** The command line is invalid. */
  USAGE(400),
  /** An input or output operation failed. */
  IO(500),
  /** An internal error occurred. */
  INTERNAL(500),
  /** A part of the prompt has crashed backend servers, so the request was not sent to one. */
  PROMPT_HELD(503);

  private final int httpStatus;

  ErrorCode(int httpStatus) {
    this.httpStatus = httpStatus;
  }

  /**
   * Returns the HTTP status of responses with this code.
   *
   * @return a status from 400 to 599
   */
  public int httpStatus() {
    return httpStatus;
  }

  /**
   * Returns the code in the form used in responses and logs.
   *
   * @return the name in lower case with hyphens
   */
  public String text() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
