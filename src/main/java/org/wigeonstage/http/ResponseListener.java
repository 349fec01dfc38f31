package org.wigeonstage.http;

import org.jspecify.annotations.Nullable;

/** Follows the answer to one HTTP call. Exactly one of the last three methods ends the call. */
public interface ResponseListener {

  /**
   * Called with the whole beginning of the answer, before anything else of it.
   *
   * @param head status and header fields
   */
  default void onHead(ResponseHead head) {
    onStart(head.status(), head.fields().first("Content-Type").orElse(null));
  }

  /**
   * Takes the beginning of the answer.
   *
   * @param status the HTTP status
   * @param contentType the media type, or null
   */
  void onStart(int status, @Nullable String contentType);

  /**
   * Takes a part of the body.
   *
   * @param data the bytes
   */
  void onData(byte[] data);

  /** Notes that the whole answer has come. */
  void onComplete();

  /**
   * Notes that no connection was made, so that nothing was sent.
   *
   * @param cause why
   */
  void onConnectFailure(Throwable cause);

  /**
   * Notes that the answer broke off, or never came, after the call may have been sent.
   *
   * @param cause why
   */
  void onFailure(Throwable cause);
}
