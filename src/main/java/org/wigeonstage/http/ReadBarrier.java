package org.wigeonstage.http;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.NIOTransport;
import org.glassfish.grizzly.nio.SelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;

/**
 * Runs actions once a selector thread has processed all data that had arrived before.
 *
 * <p>A process that gets too little processor time reads late: data may have arrived in its sockets
 * but not been read. Only a complete cycle of the selector thread shows which data has not arrived.
 */
final class ReadBarrier {

  private ReadBarrier() {}

  /**
   * Runs an action once all data that has already arrived is processed, on the connections that
   * share a selector thread with the given connection.
   *
   * @param connection one of the connections
   * @param action the action, run on the selector thread
   */
  static void runAfterPendingReads(Connection<?> connection, Runnable action) {
    NIOConnection nioConnection = (NIOConnection) connection;
    SelectorRunner runner = nioConnection.getSelectorRunner();
    SelectorHandler handler = ((NIOTransport) nioConnection.getTransport()).getSelectorHandler();
    // The first task runs before the ready connections of a cycle are processed, the second after.
    SelectorHandler.Task second =
        () -> {
          action.run();
          return true;
        };
    SelectorHandler.Task first =
        () -> {
          handler.enque(runner, second, null);
          return true;
        };
    handler.enque(runner, first, null);
  }
}
