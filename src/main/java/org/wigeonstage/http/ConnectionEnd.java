package org.wigeonstage.http;

import org.jspecify.annotations.Nullable;

/**
 * The end of a caller's connection, and the work that it left unfinished.
 *
 * @param reason why the connection ended
 * @param unansweredRequests the number of requests that were read completely but whose responses
 *     were not delivered completely
 * @param undeliveredBytes the number of bytes of the current response that were written but not
 *     handed to the operating system
 * @param currentRequest the label of the request that was being answered, or null if there was none
 * @param cause the error because of which the connection ended, or null if there is none
 */
public record ConnectionEnd(
    Reason reason,
    int unansweredRequests,
    long undeliveredBytes,
    @Nullable String currentRequest,
    @Nullable Throwable cause) {

  /** Why a connection ended. */
  public enum Reason {
    /** The caller closed the connection, or the network failed. */
    CALLER_LEFT,
    /** A request asked for the connection to be closed. */
    CALLER_ASKED,
    /** A response announced that the connection would be closed. */
    ANNOUNCED,
    /** The connection exceeded the idle timeout. */
    IDLE,
    /** The caller pipelined too many requests, or too many bytes of them. */
    TOO_FAR_AHEAD,
    /** The body of a request was too large. */
    BODY_TOO_LARGE,
    /** There was too little memory for the body of a request. */
    OVERLOADED,
    /** A request violated the HTTP protocol. */
    MALFORMED,
    /** The caller did not read its response while memory was needed for those of others. */
    UNREAD,
    /** A response was aborted. */
    BROKEN_OFF,
    /** Writing a response failed. */
    WRITE_FAILED,
    /** A request or its response could not be handled because of an error in this process. */
    HANDLING_FAILED,
    /** The server is stopping. */
    STOPPING
  }

  /** Returns whether a request was left without a complete response. */
  public boolean isIncomplete() {
    return unansweredRequests > 0 || undeliveredBytes > 0;
  }
}
