package org.wigeonstage.http;

import java.io.EOFException;
import java.io.IOException;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.CloseReason;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOUtils;
import org.jspecify.annotations.Nullable;

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

  /** Reads what has arrived, or terminates the connection with the reason why it has ended. */
  private static @Nullable Buffer readOrTerminate(TCPNIOConnection connection) {
    try {
      return TCPNIOUtils.allocateAndReadBuffer(connection);
    } catch (IOException e) {
      connection.terminateWithReason(e);
      return null;
    }
  }

  /** Returns whether a connection has ended because the peer closed it, not by a reset. */
  static boolean hasEndedOrderly(Connection<?> connection) {
    CloseReason reason = connection.getCloseReason();
    return reason != null && reason.getCause() instanceof EOFException;
  }
}
