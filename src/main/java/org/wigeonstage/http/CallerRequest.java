package org.wigeonstage.http;

import java.io.ByteArrayOutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.request.HeaderFields;

/**
 * A request as it was read. Its head is copied, because the codec's own refers to the buffers that
 * it was read from.
 */
final class CallerRequest {

  /** Why a request is not handled. */
  record Refusal(ErrorCode code, String detail) {}

  private static final String FORM = "application/x-www-form-urlencoded";

  private final String method;
  private final String path;
  private final @Nullable String query;
  private final HeaderFields fields;
  private final @Nullable String contentType;
  private final boolean isChunkable;
  private final boolean keepsConnection;
  private final Arrival arrival;
  private final HttpResponsePacket response;
  private @Nullable Refusal refusal;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();

  CallerRequest(HttpRequestPacket head, Arrival arrival) {
    this.method = head.getMethod().getMethodString();
    this.path = head.getRequestURI();
    this.query = head.getQueryString();
    this.fields = CodecParts.fieldsOf(head);
    this.contentType = head.getContentType();
    this.isChunkable = head.getProtocol() == Protocol.HTTP_1_1;
    this.keepsConnection =
        isChunkable && fields.first("Connection").filter("close"::equalsIgnoreCase).isEmpty();
    this.arrival = arrival;
    this.response = head.getResponse();
  }

  private CallerRequest(HttpResponsePacket response, Arrival arrival) {
    this.method = "";
    this.path = "";
    this.query = null;
    this.fields = HeaderFields.NONE;
    this.contentType = null;
    this.isChunkable = false;
    this.keepsConnection = false;
    this.arrival = arrival;
    this.response = response;
  }

  /** Returns a request whose head could not be read; it can only be refused. */
  static CallerRequest unreadable(HttpRequestPacket head, Arrival arrival, String detail) {
    CallerRequest request = new CallerRequest(head.getResponse(), arrival);
    request.refuse(ErrorCode.BAD_REQUEST, detail);
    return request;
  }

  void addToBody(byte[] data) {
    body.writeBytes(data);
  }

  /** Notes that the request is refused without being handled. */
  void refuse(ErrorCode code, String detail) {
    refusal = new Refusal(code, detail);
  }

  /** Returns why the request is not handled, or empty where it is. */
  Optional<Refusal> refusal() {
    return Optional.ofNullable(refusal);
  }

  int bodyLength() {
    return body.size();
  }

  byte[] body() {
    return body.toByteArray();
  }

  String method() {
    return method;
  }

  String path() {
    return path;
  }

  String pathAndQuery() {
    return query == null ? path : path + "?" + query;
  }

  HeaderFields fields() {
    return fields;
  }

  @Nullable String contentType() {
    return contentType;
  }

  /** Returns whether the caller allows further requests on the connection. */
  boolean keepsConnection() {
    return keepsConnection;
  }

  /** Returns whether the caller understands bodies in chunks. */
  boolean isChunkable() {
    return isChunkable;
  }

  Arrival arrival() {
    return arrival;
  }

  HttpResponsePacket response() {
    return response;
  }

  /** Returns a parameter of the query or of a posted form, or null. */
  @Nullable String parameter(String name) {
    String value = query == null ? null : parameterOf(query, name);
    boolean isForm = contentType != null && contentType.startsWith(FORM);
    return value == null && isForm
        ? parameterOf(body.toString(StandardCharsets.UTF_8), name)
        : value;
  }

  private static @Nullable String parameterOf(String encoded, String name) {
    for (String pair : encoded.split("&", -1)) {
      String[] parts = pair.split("=", 2);
      if (decode(parts[0]).equals(name)) {
        return parts.length > 1 ? decode(parts[1]) : "";
      }
    }
    return null;
  }

  private static String decode(String text) {
    return URLDecoder.decode(text, StandardCharsets.UTF_8);
  }
}
