package org.wigeonstage.http;

import org.jspecify.annotations.Nullable;

/** Follows the answer to one HTTP call. Exactly one of the last three methods ends the call. */
public interface ResponseListener {

  /**
   * Called with the whole beginning of the answer, before anything else of it.
   *
   * @param head status and header fields
   */
  default void head(ResponseHead head) {
    began(head.status(), head.fields().first("Content-Type").orElse(null));
  }

  /**
   * Takes the beginning of the answer.
   *
   * @param status the HTTP status
   * @param contentType the media type, or null
   */
  void began(int status, @Nullable String contentType);

  /**
   * Takes a part of the body.
   *
   * @param data the bytes
   */
  void continued(byte[] data);

  /** Notes that the whole answer has come. */
  void ended();

  /**
   * Notes that no connection was made, so that nothing was sent.
   *
   * @param cause why
   */
  void notConnected(Throwable cause);

  /**
   * Notes that the answer broke off, or never came, after the call may have been sent.
   *
   * @param cause why
   */
  void broken(Throwable cause);
}
