package org.wigeonstage.http;

/**
 * The end of a connection to a server.
 *
 * @param server the address of the server
 * @param reason why the connection ended
 * @param isCut whether a call that was sent on the connection has no complete response
 */
public record ServerConnectionEnd(String server, Reason reason, boolean isCut) {

  /** Why a connection ended. */
  public enum Reason {
    /** The server closed the connection. */
    SERVER_CLOSED,
    /**
     * The server closed the connection in place of the end of a response without a length, before
     * the whole request was written.
     */
    REQUEST_UNWRITTEN,
    /** The server reset the connection, or the network failed. */
    NETWORK_FAILED,
    /** Writing a request failed. */
    WRITE_FAILED,
    /** Data of the server could not be decoded as HTTP, or a request could not be encoded. */
    MALFORMED,
    /** The server sent data for which no call was waiting. */
    UNEXPECTED_DATA,
    /** Part of a response could not be handled because of an error in this process. */
    HANDLING_FAILED,
    /** The call was aborted. */
    ABORTED,
    /** The response announced that the connection would be closed, or ended with it. */
    NOT_REUSABLE,
    /** The connection exceeded its idle timeout. */
    IDLE,
    /** There were too many idle connections to the server. */
    TOO_MANY_IDLE,
    /** The server became unreachable while the connection was idle. */
    SERVER_UNREACHABLE,
    /** A connection that had been idle for a shorter time was lost when it was reused. */
    STALE,
    /** This process closed the connection for another reason, such as its end. */
    OTHER;

    /** Returns whether this process closed the connection. */
    public boolean isByThisProcess() {
      return switch (this) {
        case SERVER_CLOSED, REQUEST_UNWRITTEN, NETWORK_FAILED, WRITE_FAILED -> false;
        default -> true;
      };
    }

    /** Returns whether the connection ended because of an error, of the server or this process. */
    public boolean isError() {
      return this == MALFORMED || this == UNEXPECTED_DATA || this == HANDLING_FAILED;
    }
  }
}
