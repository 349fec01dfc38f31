package org.wigeonstage.http;

import java.nio.charset.StandardCharsets;
import org.wigeonstage.request.HeaderFields;

/** A complete response to a call. */
public final class HttpResponse {

  private final int status;
  private final HeaderFields fields;
  private final byte[] body;

  HttpResponse(int status, HeaderFields fields, byte[] body) {
    this.status = status;
    this.fields = fields;
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
   * Returns the header fields.
   *
   * @return the fields in the order in which they were received
   */
  public HeaderFields fields() {
    return fields;
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
