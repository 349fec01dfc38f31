package org.wigeonstage.http;

import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.glassfish.grizzly.utils.DelayedExecutor;

/**
 * Reads requests as plain HTTP/1.1 also where the client offers an upgrade.
 *
 * <p>Clients that prefer HTTP/2 offer it with their first request. A server may ignore that;
 * Grizzly by itself takes the body of such a request for another protocol and never delivers it.
 */
final class PlainHttpFilter extends HttpServerFilter {

  private static final String UPGRADE = "Upgrade";

  private PlainHttpFilter(NetworkListener listener, DelayedExecutor executor) {
    super(
        listener.isChunkingEnabled(),
        DEFAULT_MAX_HTTP_PACKET_HEADER_SIZE,
        null,
        listener.getKeepAlive(),
        executor,
        listener.getMaxRequestHeaders(),
        listener.getMaxResponseHeaders());
  }

  /** Puts a filter of this kind in the place of a listener's usual one. */
  static void install(NetworkListener listener, DelayedExecutor executor) {
    listener.registerAddOn((owner, builder) -> replaceCodec(owner, builder, executor));
  }

  private static void replaceCodec(
      NetworkListener listener, FilterChainBuilder builder, DelayedExecutor executor) {
    int index = builder.indexOfType(HttpServerFilter.class);
    builder.set(index, new PlainHttpFilter(listener, executor));
  }

  @Override
  protected void onHttpHeadersParsed(
      HttpHeader header, MimeHeaders fields, FilterChainContext context) {
    super.onHttpHeadersParsed(header, fields, context);
    header.getUpgradeDC().recycle();
    fields.removeHeader(UPGRADE);
  }
}
