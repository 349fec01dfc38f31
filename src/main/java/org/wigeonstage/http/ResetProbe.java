package org.wigeonstage.http;

import java.io.IOException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;

/** Detects resets behind the end of a connection, which reading from it doesn't show. */
final class ResetProbe {

  private ResetProbe() {}

  /**
   * Requires that a connected channel was not reset. One that was is ready to connect: the selector
   * shows errors and hang-ups so, but not the mere end of the input.
   *
   * @throws IOException if the channel was reset, or it can't be told
   */
  static void requireNoReset(SelectableChannel channel) throws IOException {
    try (Selector selector = channel.provider().openSelector()) {
      channel.register(selector, SelectionKey.OP_CONNECT);
      if (selector.selectNow() > 0) {
        throw new IOException("connection reset behind its end");
      }
    }
  }
}
