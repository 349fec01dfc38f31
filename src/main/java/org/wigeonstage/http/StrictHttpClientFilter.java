package org.wigeonstage.http;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpResponsePacket;

/**
 * Decodes responses as HTTP/1.1. Grizzly reads three digits of a status code and skips the octet
 * behind them, whatever it is; this filter gives longer codes the status {@link
 * ResponseHead#NO_STATUS}.
 */
final class StrictHttpClientFilter extends HttpClientFilter {

  private static final int STATUS_DIGITS = 3;

  @Override
  protected boolean onHttpHeaderParsed(
      HttpHeader header, Buffer buffer, FilterChainContext context) {
    int index = skip(buffer, 0, true); // line breaks may precede the status line
    index = skip(buffer, index, false); // the protocol
    index = skip(buffer, index, true);
    if (isDigit(buffer, index + STATUS_DIGITS)) {
      ((HttpResponsePacket) header).setStatus(ResponseHead.NO_STATUS);
    }
    return super.onHttpHeaderParsed(header, buffer, context);
  }

  /** Returns the index of the first octet of the head that is not white space, or that is. */
  private static int skip(Buffer head, int start, boolean isSpace) {
    int index = start;
    while (index < head.position() && Character.isWhitespace(head.get(index)) == isSpace) {
      index++;
    }
    return index;
  }

  private static boolean isDigit(Buffer head, int index) {
    return index < head.position() && Character.isDigit(head.get(index));
  }
}
