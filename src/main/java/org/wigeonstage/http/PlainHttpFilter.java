package org.wigeonstage.http;

import com.google.common.base.CharMatcher;
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
 * Reads requests as plain HTTP/1.1 also where the client offers an upgrade, and refuses those whose
 * framing is ambiguous.
 *
 * <p>Clients that prefer HTTP/2 offer it with their first request. A server may ignore that;
 * Grizzly by itself takes the body of such a request for another protocol and never delivers it.
 */
final class PlainHttpFilter extends HttpServerFilter {

  private static final String UPGRADE = "Upgrade";

  private static final String CONTENT_LENGTH = "Content-Length";
  private static final String TRANSFER_ENCODING = "Transfer-Encoding";
  private static final String LENGTH_FIELD = "\ncontent-length";
  private static final CharMatcher TOKEN =
      CharMatcher.inRange('a', 'z')
          .or(CharMatcher.inRange('A', 'Z'))
          .or(CharMatcher.inRange('0', '9'))
          .or(CharMatcher.anyOf("!#$%&'*+-.^_`|~"));

  /** Takes requests that are not in the protocol. */
  @FunctionalInterface
  interface UnreadableRequests {

    /** Refuses a request, after those ahead of it. */
    void refuse(CallerConnection connection, HttpRequestPacket head, String detail);
  }

  private final UnreadableRequests unreadable;

  PlainHttpFilter(int maxHeadBytes, UnreadableRequests unreadable) {
    super(true, maxHeadBytes, unlimited(), null);
    this.unreadable = unreadable;
  }

  /** Discards what comes on connections that take no further request. */
  @Override
  public NextAction handleRead(FilterChainContext context) throws IOException {
    CallerConnection connection = CallerConnection.of(context.getConnection());
    if (!connection.isTaking()) {
      Buffer discarded = context.getMessage();
      discarded.tryDispose();
      return context.getStopAction();
    }
    connection.bytesRead();
    return super.handleRead(context);
  }

  /** The codec itself would answer at once, which may be ahead of other answers. */
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
    unreadable.refuse(
        CallerConnection.of(context.getConnection()), (HttpRequestPacket) header, detail);
  }

  /** Connections are closed by the server when they are idle, not by the codec. */
  private static KeepAlive unlimited() {
    KeepAlive keepAlive = new KeepAlive();
    keepAlive.setMaxRequestsCount(-1);
    keepAlive.setIdleTimeoutInSeconds(-1);
    return keepAlive;
  }

  @Override
  protected void onHttpHeadersParsed(
      HttpHeader header, MimeHeaders fields, FilterChainContext context) {
    checkFraming(header.isChunked(), fields);
    super.onHttpHeadersParsed(header, fields, context);
    header.getUpgradeDC().recycle();
    fields.removeHeader(UPGRADE);
  }

  /** The codec forgets a length beside chunks, so it is looked for in the bytes of the head. */
  @Override
  protected boolean onHttpHeaderParsed(
      HttpHeader header, Buffer buffer, FilterChainContext context) {
    if (header.isChunked()) {
      String head = buffer.toStringContent(StandardCharsets.ISO_8859_1, 0, buffer.position());
      refuseUnless(!head.toLowerCase(Locale.ROOT).contains(LENGTH_FIELD));
    }
    return super.onHttpHeaderParsed(header, buffer, context);
  }

  /**
   * Refuses requests whose end two readers could place differently; such a request could carry
   * another one past this server.
   */
  private static void checkFraming(boolean isChunked, MimeHeaders fields) {
    int lengths = 0;
    int encodings = 0;
    int hosts = 0;
    for (int i = 0; i < fields.size(); i++) {
      String name = fields.getName(i).toString();
      if (name.isEmpty() || !TOKEN.matchesAllOf(name)) {
        throw new IllegalStateException("malformed header field name");
      }
      String value = fields.getValue(i).toString();
      if (name.equalsIgnoreCase(CONTENT_LENGTH)) {
        lengths++;
        refuseUnless(isLength(value));
      } else if (name.equalsIgnoreCase(TRANSFER_ENCODING)) {
        encodings++;
        refuseUnless(value.equalsIgnoreCase("chunked"));
      } else if (name.equalsIgnoreCase("Host")) {
        hosts++;
      }
    }
    boolean isEncoded = isChunked || encodings > 0;
    refuseUnless(lengths + (isEncoded ? 1 : 0) <= 1 && encodings <= 1 && hosts <= 1);
  }

  private static boolean isLength(String value) {
    return !value.isEmpty() && CharMatcher.inRange('0', '9').matchesAllOf(value);
  }

  private static void refuseUnless(boolean isSound) {
    if (!isSound) {
      throw new IllegalStateException("ambiguous framing");
    }
  }
}
