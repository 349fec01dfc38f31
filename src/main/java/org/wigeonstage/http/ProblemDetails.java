package org.wigeonstage.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.Json;

/** Creates problem details in the format of RFC 9457. */
public final class ProblemDetails {

  /** The media type of problem details. */
  public static final String MEDIA_TYPE = "application/problem+json";

  private ProblemDetails() {}

  /**
   * Creates the JSON object of a problem.
   *
   * @param code the error code
   * @param detail a description of this occurrence
   * @return an object with the members type, title, status, code and detail
   */
  public static ObjectNode json(ErrorCode code, String detail) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("type", "about:blank")
        .put("title", code.text())
        .put("status", code.httpStatus())
        .put("code", code.text())
        .put("detail", detail);
  }

  /**
   * Sends problem details as the response to a request.
   *
   * @param exchange the exchange of the request
   * @param code the error code
   * @param detail a description of this occurrence
   * @param fields further header fields
   */
  public static void respond(
      ServerExchange exchange, ErrorCode code, String detail, Map<String, String> fields) {
    byte[] body = Json.write(json(code, detail)).getBytes(StandardCharsets.UTF_8);
    exchange.respond(code.httpStatus(), MEDIA_TYPE, new HashMap<>(fields), body);
  }
}
