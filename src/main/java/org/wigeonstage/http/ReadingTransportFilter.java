package org.wigeonstage.http;

import java.io.EOFException;
import java.io.IOException;
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

  @Override
  public NextAction handleRead(FilterChainContext context) {
    TCPNIOConnection connection = (TCPNIOConnection) context.getConnection();
    Buffer buffer = readOrTerminate(connection);
    if (buffer == null || buffer.position() == 0) {
      return context.getStopAction();
    }
    buffer.trim();
    context.setMessage(buffer);
    context.setAddress(connection.getPeerAddress());
    return context.getInvokeAction();
  }

  /** Ends the connection, and the call on it, because of an error in any filter. */
  @Override
  public void exceptionOccurred(FilterChainContext context, Throwable cause) {
    Connection<?> connection = context.getConnection();
    ClientExchange exchange = ClientExchange.ATTRIBUTE.get(connection);
    ServerConnection.recordEndReason(connection, reasonOf(cause, exchange));
    if (exchange != null) {
      exchange.connectionLost(ServerConnection.endReason(connection), cause);
    }
    connection.closeSilently();
  }

  private static Reason reasonOf(Throwable cause, @Nullable ClientExchange exchange) {
    if (exchange == null) {
      return Reason.UNEXPECTED_DATA;
    }
    return cause instanceof Error ? Reason.HANDLING_FAILED : Reason.MALFORMED;
  }

  /** Reads what has arrived, or terminates the connection with the reason why it has ended. */
  private static @Nullable Buffer readOrTerminate(TCPNIOConnection connection) {
    try {
      return TCPNIOUtils.allocateAndReadBuffer(connection);
    } catch (IOException e) {
      boolean isOrderly = e instanceof EOFException;
      ServerConnection.recordEndReason(
          connection, isOrderly ? Reason.SERVER_CLOSED : Reason.NETWORK_FAILED);
      connection.terminateWithReason(e);
      return null;
    }
  }
}
