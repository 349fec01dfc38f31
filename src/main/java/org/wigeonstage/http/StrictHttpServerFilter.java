package org.wigeonstage.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * Decodes requests as HTTP/1.1, ignores offers to upgrade the protocol, and refuses requests whose
 * framing is ambiguous.
 *
 * <p>Clients that prefer HTTP/2 offer an upgrade with their first request, which a server may
 * ignore. Without this filter, Grizzly would treat the body of such a request as data of the other
 * protocol and never deliver it.
 */
final class StrictHttpServerFilter extends HttpServerFilter {

  private static final String UPGRADE = "Upgrade";

  private static final String CONTENT_LENGTH_LINE = "\ncontent-length";

  /** Handles requests that violate the HTTP protocol. */
  @FunctionalInterface
  interface MalformedRequestHandler {

    /**
     * Refuses a request, after the requests ahead of it.
     *
     * @param connection the connection of the request
     * @param head the request's head, possibly incomplete
     * @param detail what is wrong with the request
     */
    void refuse(CallerConnection connection, HttpRequestPacket head, String detail);
  }

  private final MalformedRequestHandler malformedRequestHandler;

  StrictHttpServerFilter(int maxHeadBytes, MalformedRequestHandler malformedRequestHandler) {
    super(true, maxHeadBytes, unlimitedKeepAlive(), null);
    this.malformedRequestHandler = malformedRequestHandler;
  }

  /** Discards data that is read from connections that no longer accept requests. */
  @Override
  public NextAction handleRead(FilterChainContext context) throws IOException {
    CallerConnection connection = CallerConnection.of(context.getConnection());
    if (!connection.isAccepting()) {
      Buffer discarded = context.getMessage();
      discarded.tryDispose();
      return context.getStopAction();
    }
    connection.recordRead();
    return super.handleRead(context);
  }

  /**
   * Passes the error to the handler for malformed requests. The superclass would respond at once,
   * possibly ahead of the responses to earlier requests.
   */
  @Override
  protected void onHttpHeaderError(HttpHeader header, FilterChainContext context, Throwable cause) {
    refuse(header, context, cause);
  }

  @Override
  protected void onHttpContentError(
      HttpHeader header, FilterChainContext context, Throwable cause) {
    header.setContentBroken(true);
    refuse(header, context, cause);
  }

  private void refuse(HttpHeader header, FilterChainContext context, Throwable cause) {
    String detail = cause.getMessage() == null ? "the request is malformed" : cause.getMessage();
    malformedRequestHandler.refuse(
        CallerConnection.of(context.getConnection()), (HttpRequestPacket) header, detail);
  }

  /** Turns off the keep-alive limits of Grizzly; {@link HttpServer} closes idle connections. */
  private static KeepAlive unlimitedKeepAlive() {
    KeepAlive keepAlive = new KeepAlive();
    keepAlive.setMaxRequestsCount(-1);
    keepAlive.setIdleTimeoutInSeconds(-1);
    return keepAlive;
  }

  @Override
  protected void onHttpHeadersParsed(
      HttpHeader header, MimeHeaders fields, FilterChainContext context) {
    checkFraming(header.isChunked(), fields);
    checkTarget((HttpRequestPacket) header);
    super.onHttpHeadersParsed(header, fields, context);
    // Otherwise, Grizzly would act on the offer to upgrade, which it has already parsed.
    header.getUpgradeDC().recycle();
    fields.removeHeader(UPGRADE);
  }

  /**
   * Refuses chunked requests with a {@code Content-Length} field. Grizzly drops that field from the
   * parsed fields of a chunked request, so it is searched for in the bytes of the head.
   */
  @Override
  protected boolean onHttpHeaderParsed(
      HttpHeader header, Buffer buffer, FilterChainContext context) {
    if (header.isChunked()) {
      String head = buffer.toStringContent(StandardCharsets.ISO_8859_1, 0, buffer.position());
      requireUnambiguous(!head.toLowerCase(Locale.ROOT).contains(CONTENT_LENGTH_LINE));
    }
    return super.onHttpHeaderParsed(header, buffer, context);
  }

  /**
   * Refuses requests whose end or {@code Host} two parsers could determine differently. Such a
   * request could be used to smuggle another request past this server.
   */
  private static void checkFraming(boolean isChunked, MimeHeaders fields) {
    BodyFraming framing = new BodyFraming();
    int hosts = 0;
    for (int i = 0; i < fields.size(); i++) {
      String name = fields.getName(i).toString();
      if (!FieldNames.isValid(name)) {
        throw new IllegalStateException("malformed header field name");
      }
      String value = FieldValues.read(fields, i);
      if (!FieldValues.isValid(value)) {
        throw new IllegalStateException("a header field has control characters");
      }
      framing.add(name, value);
      if (name.equalsIgnoreCase("Host")) {
        hosts++;
      }
    }
    requireUnambiguous(
        framing.isUnambiguous() && !(isChunked && framing.hasContentLength()) && hosts <= 1);
  }

  /** Refuses targets that two parsers could read differently. */
  private static void checkTarget(HttpRequestPacket head) {
    String query = head.getQueryString();
    if (!FieldValues.isValidTarget(head.getRequestURI())
        || (query != null && !FieldValues.isValidTarget(query))) {
      throw new IllegalStateException("the request target has characters that must be encoded");
    }
  }

  private static void requireUnambiguous(boolean isUnambiguous) {
    if (!isUnambiguous) {
      throw new IllegalStateException(
          "a Content-Length, Transfer-Encoding or Host field is malformed, repeated or contradictory");
    }
  }
}
