package org.wigeonstage.http;

import java.util.Locale;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.wigeonstage.http.ServerConnectionEnd.Reason;

/** Passes the parts of a response to the {@link ClientExchange} of its connection. */
final class ResponseFilter extends BaseFilter {

  private static final int STATUS_NO_CONTENT = 204;
  private static final int STATUS_NOT_MODIFIED = 304;

  private final ServerConnectionListener listener;

  ResponseFilter(ServerConnectionListener listener) {
    this.listener = listener;
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    try {
      return handlePart(context);
    } catch (RuntimeException | Error e) {
      ServerConnection.recordEndReason(context.getConnection(), Reason.HANDLING_FAILED);
      throw e;
    }
  }

  private NextAction handlePart(FilterChainContext context) {
    ClientExchange exchange = ClientExchange.ATTRIBUTE.get(context.getConnection());
    HttpContent content = context.getMessage();
    if (exchange == null) {
      ServerConnection.close(context.getConnection(), Reason.UNEXPECTED_DATA);
      return context.getStopAction();
    }
    HttpResponsePacket response = (HttpResponsePacket) content.getHttpHeader();
    exchange.responseStarted(() -> headOf(response));
    if (content.getContent().hasRemaining()) {
      exchange.dataReceived(PacketCopies.copyBytes(content));
    }
    boolean isLast = content.isLast();
    content.recycle();
    if (isLast) {
      exchange.responseCompleted(context.getConnection(), isReusable(response));
      return context.getStopAction();
    }
    return exchange.suspendIfPaused(context) ? context.getSuspendAction() : context.getStopAction();
  }

  private static ResponseHead headOf(HttpResponsePacket response) {
    return new ResponseHead(
        response.getStatus(),
        PacketCopies.copyFields(response),
        response.getContentLength(),
        isFramed(response));
  }

  private static boolean isFramed(HttpResponsePacket response) {
    return response.isChunked()
        || response.getContentLength() >= 0
        || response.getStatus() == STATUS_NO_CONTENT
        || response.getStatus() == STATUS_NOT_MODIFIED;
  }

  private static boolean isReusable(HttpResponsePacket response) {
    String connection = response.getHeader("Connection");
    boolean isClosing = connection != null && connection.toLowerCase(Locale.ROOT).contains("close");
    return isFramed(response) && !isClosing && response.getProtocol() == Protocol.HTTP_1_1;
  }

  @Override
  public NextAction handleClose(FilterChainContext context) {
    Connection<?> connection = context.getConnection();
    ClientExchange exchange = ClientExchange.ATTRIBUTE.get(connection);
    boolean isOrderly = ServerConnection.hasEndedOrderly(connection);
    Reason recorded = ServerConnection.endReason(connection);
    Reason reason = exchange == null ? recorded : exchange.endReason(recorded);
    boolean isCut = exchange != null && !exchange.isCompletedByEnd(isOrderly);
    listener.onClose(
        new ServerConnectionEnd(String.valueOf(connection.getPeerAddress()), reason, isCut));
    if (exchange != null) {
      exchange.connectionEnded(
          connection, isOrderly, reason, ServerConnection.failureOf(connection));
    }
    return context.getStopAction();
  }
}
