package org.wigeonstage.http;

import java.nio.charset.StandardCharsets;

/** A complete response to a call. */
public final class HttpResponse {

  private final int status;
  private final byte[] body;

  HttpResponse(int status, byte[] body) {
    this.status = status;
    this.body = body;
  }

  /**
   * Returns the HTTP status code.
   *
   * @return the status code
   */
  public int status() {
    return status;
  }

  /**
   * Returns the body.
   *
   * @return the bytes, which the caller must not change
   */
  public byte[] body() {
    return body;
  }

  /**
   * Returns the body as text.
   *
   * @return the body, decoded as UTF-8
   */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
