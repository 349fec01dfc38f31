package org.wigeonstage.http;

import org.jspecify.annotations.Nullable;

/**
 * Receives the response to one HTTP call. The call ends with exactly one of {@link #onComplete},
 * {@link #onConnectFailure} and {@link #onFailure}.
 */
public interface ResponseListener {

  /**
   * Called when the head of the response has arrived, before any other part of it. The default
   * implementation calls {@link #onStart}.
   *
   * @param head the status and header fields
   */
  default void onHead(ResponseHead head) {
    onStart(head.status(), head.fields().first("Content-Type").orElse(null));
  }

  /**
   * Called when the head of the response has arrived, unless {@link #onHead} is overridden.
   *
   * @param status the HTTP status code
   * @param contentType the media type, or null if there is none
   */
  void onStart(int status, @Nullable String contentType);

  /**
   * Called when a part of the body has arrived.
   *
   * @param data the bytes
   */
  void onData(byte[] data);

  /** Called when the complete response has arrived. */
  void onComplete();

  /**
   * Called when no connection was established, so that nothing was sent.
   *
   * @param cause why the connection failed
   */
  void onConnectFailure(Throwable cause);

  /**
   * Called when the response was truncated or never arrived. The request may have been sent.
   *
   * @param cause why the call failed
   */
  void onFailure(Throwable cause);
}
