package org.wigeonstage.http;

import java.io.EOFException;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOUtils;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.http.ServerConnectionEnd.Reason;

/**
 * Reads from connections, and keeps the reason why one has ended; the superclass reports a reset as
 * an orderly end.
 */
final class ReadingTransportFilter extends TransportFilter {

  /** How long after the end of a connection a reset may arrive. */
  private static final int RESET_DELAY_MILLIS = 50;

  @Override
  public NextAction handleRead(FilterChainContext context) {
    TCPNIOConnection connection = (TCPNIOConnection) context.getConnection();
    try {
      Buffer buffer = TCPNIOUtils.allocateAndReadBuffer(connection);
      return buffer == null || buffer.position() == 0
          ? context.getStopAction()
          : passOn(buffer, context);
    } catch (EOFException e) {
      return endOrAwaitReset(connection, context, e);
    } catch (IOException e) {
      terminate(connection, Reason.NETWORK_FAILED, e);
      return context.getStopAction();
    }
  }

  private static NextAction passOn(Buffer buffer, FilterChainContext context) {
    buffer.trim();
    context.setMessage(buffer);
    context.setAddress(context.getConnection().getPeerAddress());
    return context.getInvokeAction();
  }

  /**
   * Ends a connection whose end was read. If this would complete a response, the end is delayed,
   * because a server that closes a socket with an unread request sends a reset behind the end.
   */
  private static NextAction endOrAwaitReset(
      TCPNIOConnection connection, FilterChainContext context, EOFException end) {
    ClientExchange exchange = ClientExchange.ATTRIBUTE.get(connection);
    if (exchange == null || !exchange.hasRequestBody() || !exchange.isCompletedByEnd(true)) {
      terminate(connection, Reason.SERVER_CLOSED, end);
      return context.getStopAction();
    }
    context.suspend();
    CompletableFuture.delayedExecutor(
            RESET_DELAY_MILLIS,
            TimeUnit.MILLISECONDS,
            action -> Transports.runOnSelectorThread(connection, action))
        .execute(() -> endUnlessReset(connection, end));
    return context.getSuspendAction();
  }

  private static void endUnlessReset(TCPNIOConnection connection, EOFException end) {
    if (!connection.isOpen()) {
      return;
    }
    try {
      ResetProbe.requireNoReset(connection.getChannel());
      terminate(connection, Reason.SERVER_CLOSED, end);
    } catch (IOException e) {
      terminate(connection, Reason.NETWORK_FAILED, e);
    }
  }

  private static void terminate(TCPNIOConnection connection, Reason reason, IOException cause) {
    ServerConnection.recordEndReason(connection, reason);
    connection.terminateWithReason(cause);
  }

  /** Ends the connection, and the call on it, because of an error in any filter. */
  @Override
  public void exceptionOccurred(FilterChainContext context, Throwable cause) {
    Connection<?> connection = context.getConnection();
    ClientExchange exchange = ClientExchange.ATTRIBUTE.get(connection);
    ServerConnection.closeAfterError(connection, reasonOf(cause, exchange), cause);
  }

  private static Reason reasonOf(Throwable cause, @Nullable ClientExchange exchange) {
    if (exchange == null) {
      return Reason.UNEXPECTED_DATA;
    }
    return cause instanceof Error ? Reason.HANDLING_FAILED : Reason.MALFORMED;
  }
}
