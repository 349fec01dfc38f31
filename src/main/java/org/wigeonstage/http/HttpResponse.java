package org.wigeonstage.http;

import java.nio.charset.StandardCharsets;

/** A whole answer to a call. */
public final class HttpResponse {

  private final int status;
  private final byte[] body;

  HttpResponse(int status, byte[] body) {
    this.status = status;
    this.body = body;
  }

  /**
   * Returns the HTTP status.
   *
   * @return the status
   */
  public int status() {
    return status;
  }

  /**
   * Returns the body as text.
   *
   * @return the body, read as UTF-8
   */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
