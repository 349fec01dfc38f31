package org.wigeonstage.gateway;

import java.util.Locale;
import org.wigeonstage.forward.AttemptFailure;

/** Why the gateway itself ends an attempt, and closes its connection. */
enum AbortReason {
  /** The response was malformed, or belonged to another request. */
  INVALID_RESPONSE,
  /** The status of the response is none that a final response may have. */
  INVALID_STATUS,
  /** Another server responded at the address. */
  MISDIRECTED,
  /** No connection was established in time. */
  NOT_CONNECTED,
  /** The server sent nothing in time, and another one gets the request. */
  UNRESPONSIVE,
  /** The server ended a stream inside an event, or before its first one. */
  INCOMPLETE_RESPONSE,
  /** The deadline of the request passed. */
  DEADLINE,
  /** The caller disconnected. */
  CALLER_GONE,
  /** The process is about to exit. */
  SHUTDOWN,
  /** The prompt of the request is held. */
  PROMPT_HELD,
  /** A step of the request failed because of an error in this process. */
  ERROR;

  /** Returns why an attempt that failed, but whose connection was not lost, is ended. */
  static AbortReason of(AttemptFailure failure) {
    return switch (failure) {
      case NOT_SENT -> NOT_CONNECTED;
      case DECLINED, FAILED, INVALID -> INVALID_RESPONSE;
      case INVALID_STATUS -> INVALID_STATUS;
      case MISDIRECTED -> MISDIRECTED;
      case LOST, CUT -> UNRESPONSIVE;
      case TIMED_OUT -> DEADLINE;
    };
  }

  String text() {
    return name().toLowerCase(Locale.ROOT);
  }
}
