package org.wigeonstage.http;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.request.HeaderFields;

/**
 * A request as it was read from the connection. The head is copied, because Grizzly's packet refers
 * to buffers that are reused.
 */
final class CallerRequest {

  /**
   * The reason for which a request is refused without being handled.
   *
   * @param code the error code of the response
   * @param detail what is wrong with the request
   */
  record Refusal(ErrorCode code, String detail) {

    /** Returns the header fields of the response; the connection closes after it. */
    Map<String, String> responseFields() {
      Map<String, String> fields = new HashMap<>();
      fields.put("Connection", "close");
      fields.put("Wigeonstage-Outcome", "not-run");
      if (code == ErrorCode.OVERLOADED) {
        fields.put("Retry-After", RETRY_AFTER_SECONDS);
      }
      return fields;
    }
  }

  /** In this time, some of the bodies that are being read are complete. */
  private static final String RETRY_AFTER_SECONDS = "1";

  private static final String FORM_MEDIA_TYPE = "application/x-www-form-urlencoded";

  private final String method;
  private final String path;
  private final @Nullable String query;
  private final HeaderFields fields;
  private final @Nullable String contentType;
  private final boolean supportsChunking;
  private final boolean keepsConnection;
  private final Arrival arrival;
  private final HttpResponsePacket response;
  private @Nullable Refusal refusal;
  private final BodyBuffer body;

  /** The memory that is reserved for the body at the {@link BodyMemory}. */
  private long reservedBytes;

  CallerRequest(HttpRequestPacket head, Arrival arrival) {
    this.method = head.getMethod().getMethodString();
    this.path = head.getRequestURI();
    this.query = head.getQueryString();
    this.fields = PacketCopies.copyFields(head);
    this.contentType = head.getContentType();
    this.supportsChunking = head.getProtocol() == Protocol.HTTP_1_1;
    this.keepsConnection =
        supportsChunking && fields.first("Connection").filter("close"::equalsIgnoreCase).isEmpty();
    this.arrival = arrival;
    this.response = head.getResponse();
    this.body = new BodyBuffer(head.isChunked() ? -1 : head.getContentLength());
  }

  private CallerRequest(HttpResponsePacket response, Arrival arrival) {
    this.method = "";
    this.path = "";
    this.query = null;
    this.fields = HeaderFields.NONE;
    this.contentType = null;
    this.supportsChunking = false;
    this.keepsConnection = false;
    this.arrival = arrival;
    this.response = response;
    this.body = new BodyBuffer(0);
  }

  /** Creates a refused request in place of one whose head or body could not be parsed. */
  static CallerRequest malformed(HttpRequestPacket head, Arrival arrival, String detail) {
    CallerRequest request = new CallerRequest(head.getResponse(), arrival);
    request.refuse(ErrorCode.BAD_REQUEST, detail);
    return request;
  }

  void appendBody(byte[] data) {
    body.append(data);
  }

  /** Marks the request as refused. */
  void refuse(ErrorCode code, String detail) {
    refusal = new Refusal(code, detail);
  }

  /** Returns why the request is refused, or empty if it is to be handled. */
  Optional<Refusal> refusal() {
    return Optional.ofNullable(refusal);
  }

  /** Reserves memory for a body of the given length; returns false if there is too little. */
  boolean tryReserve(long bodyLength, BodyMemory.Share memory) {
    if (bodyLength <= Math.max(reservedBytes, memory.memory().uncountedBytes())) {
      return true;
    }
    // A body without a declared length is reserved in growing steps.
    long additional = Math.max(bodyLength - reservedBytes, reservedBytes);
    boolean isReserved = memory.tryReserve(additional, this);
    reservedBytes += isReserved ? additional : 0;
    return isReserved;
  }

  long reservedBytes() {
    return reservedBytes;
  }

  int bodyBytes() {
    return body.length();
  }

  byte[] body() {
    return body.toBytes();
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

  /** Returns whether the caller keeps the connection open for further requests. */
  boolean keepsConnection() {
    return keepsConnection;
  }

  /** Returns whether the caller supports chunked responses. */
  boolean supportsChunking() {
    return supportsChunking;
  }

  Arrival arrival() {
    return arrival;
  }

  HttpResponsePacket response() {
    return response;
  }

  /** Returns a parameter of the query or of an HTML form in the body, or null if there is none. */
  @Nullable String parameter(String name) {
    String value = query == null ? null : findParameter(query, name);
    boolean isForm = contentType != null && contentType.startsWith(FORM_MEDIA_TYPE);
    return value == null && isForm
        ? findParameter(new String(body.toBytes(), StandardCharsets.UTF_8), name)
        : value;
  }

  private static @Nullable String findParameter(String encodedParameters, String name) {
    for (String parameter : encodedParameters.split("&", -1)) {
      String[] nameAndValue = parameter.split("=", 2);
      if (decode(nameAndValue[0]).equals(name)) {
        return nameAndValue.length > 1 ? decode(nameAndValue[1]) : "";
      }
    }
    return null;
  }

  private static String decode(String text) {
    return URLDecoder.decode(text, StandardCharsets.UTF_8);
  }
}
