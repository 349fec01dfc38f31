package org.wigeonstage.http;

import java.io.EOFException;
import java.util.concurrent.atomic.AtomicReference;
import org.glassfish.grizzly.CloseReason;
import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.http.ServerConnectionEnd.Reason;

/** Closes connections to servers, and keeps the first reason why each one has ended. */
final class ServerConnection {

  private static final Attribute<AtomicReference<@Nullable Reason>> END_REASON =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(
          "wigeonstage.serverConnectionEnd", AtomicReference::new);

  private ServerConnection() {}

  /** Closes a connection; has no effect if it is already closed. */
  static void close(Connection<?> connection, Reason reason) {
    recordEndReason(connection, reason);
    connection.closeSilently();
  }

  /** Closes a connection because of an error, and ends the call on it, if there is one. */
  static void closeAfterError(Connection<?> connection, Reason reason, Throwable cause) {
    recordEndReason(connection, reason);
    ClientExchange exchange = ClientExchange.ATTRIBUTE.get(connection);
    if (exchange != null) {
      exchange.connectionLost(endReason(connection), cause);
    }
    connection.closeSilently();
  }

  /** Records why a connection is about to end, unless a reason is already known. */
  static void recordEndReason(Connection<?> connection, Reason reason) {
    END_REASON.get(connection).compareAndSet(null, reason);
  }

  /** Returns why a closed connection has ended. */
  static Reason endReason(Connection<?> connection) {
    Reason recorded = END_REASON.get(connection).get();
    if (recorded != null) {
      return recorded;
    }
    CloseReason reason = connection.getCloseReason();
    if (hasEndedOrderly(connection)) {
      return Reason.SERVER_CLOSED;
    }
    return reason != null && reason.getType() == CloseType.REMOTELY
        ? Reason.NETWORK_FAILED
        : Reason.OTHER;
  }

  /** Returns the error by which a closed connection has ended, or null if there was none. */
  static @Nullable Throwable failureOf(Connection<?> connection) {
    CloseReason reason = connection.getCloseReason();
    return reason == null || endReason(connection) != Reason.NETWORK_FAILED
        ? null
        : reason.getCause();
  }

  /** Returns whether a connection has ended because the server closed it, not by a reset. */
  static boolean hasEndedOrderly(Connection<?> connection) {
    CloseReason reason = connection.getCloseReason();
    return reason != null && reason.getCause() instanceof EOFException;
  }
}
