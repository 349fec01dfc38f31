package org.wigeonstage.http;

/**
 * The end of a caller's connection, and what it left undone.
 *
 * @param reason why the connection ended
 * @param unansweredRequests how many requests had been read whole and had no whole answer
 * @param undeliveredBytes how many bytes of an answer had been given and not been taken by the
 *     caller
 */
public record ConnectionEnd(Reason reason, int unansweredRequests, long undeliveredBytes) {

  /** Why a connection ended. */
  public enum Reason {
    /** The caller closed it, or its network failed. */
    CALLER_LEFT,
    /** The caller asked for it with a request. */
    CALLER_ASKED,
    /** An answer announced it. */
    ANNOUNCED,
    /** Nothing was asked on it for long. */
    IDLE,
    /** The caller sent too many requests, or too large ones, ahead of their answers. */
    TOO_FAR_AHEAD,
    /** A body was too large. */
    BODY_TOO_LARGE,
    /** A request was not in the protocol. */
    MALFORMED,
    /** An answer was broken off. */
    BROKEN_OFF,
    /** An answer could not be written. */
    WRITE_FAILED,
    /** The server stops. */
    STOPPING
  }

  /** Returns whether a request was left without its whole answer. */
  public boolean isIncomplete() {
    return unansweredRequests > 0 || undeliveredBytes > 0;
  }
}
