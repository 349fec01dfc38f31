package org.wigeonstage.system;

import org.jspecify.annotations.Nullable;

/** A request and what its caller saw. Written by the caller's thread, read after its end. */
final class SoakCall {

  /** How a request ended. */
  enum End {
    /** The connection ended before the whole request was written. */
    NOT_SENT,
    /** A whole answer came. */
    WHOLE,
    /** The connection ended before a whole answer. */
    BROKEN,
    /** Nothing came for long, and the caller closed the connection. */
    GIVEN_UP,
    /** The answer is no answer to this request. */
    WRONG
  }

  final String id;
  final String gateway;
  final String connection;
  final int positionOnConnection;
  final SoakWork work;
  long sentAt = Long.MAX_VALUE;
  long answerBeganAt = Long.MAX_VALUE;
  long endedAt = Long.MAX_VALUE;
  int status;
  long bodyBytes;
  @Nullable End end;
  String detail = "";

  SoakCall(String id, String gateway, String connection, int positionOnConnection, SoakWork work) {
    this.id = id;
    this.gateway = gateway;
    this.connection = connection;
    this.positionOnConnection = positionOnConnection;
    this.work = work;
  }

  void end(End how, long at, String why) {
    end = how;
    endedAt = at;
    detail = why;
  }

  boolean isSuccess() {
    return end == End.WHOLE && status / 100 == 2;
  }

  @Override
  public String toString() {
    return "%s: %s to %s on connection %s, request %d; sent %s, answer began %s, ended %s ms: %s %s, %d bytes of body. %s"
        .formatted(
            id,
            work.target(),
            gateway,
            connection,
            positionOnConnection,
            text(sentAt),
            text(answerBeganAt),
            text(endedAt),
            end,
            status == 0 ? "without status" : status,
            bodyBytes,
            detail);
  }

  private static String text(long millis) {
    return millis == Long.MAX_VALUE ? "never" : Long.toString(millis);
  }
}
