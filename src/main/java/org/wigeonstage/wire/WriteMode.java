package org.wigeonstage.wire;

import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.wigeonstage.http.Transports;

/** On which thread messages are written to links. */
public enum WriteMode {
  /** On a selector thread, so that a link that fails is reported on that thread. */
  SELECTOR_THREAD {
    @Override
    TCPNIOTransport createTransport(String name) {
      return Transports.create(name, 2);
    }
  },
  /**
   * On the thread that sends the message, which may be told at once that the link has failed. This
   * takes less processor time for many small messages.
   */
  SENDING_THREAD {
    @Override
    TCPNIOTransport createTransport(String name) {
      return Transports.createForSmallMessages(name, 1);
    }
  };

  abstract TCPNIOTransport createTransport(String name);
}
