package org.wigeonstage.wire;

import org.wigeonstage.handover.Message;

/** Follows the connections of an {@link LinkServer} or {@link LinkConnector}. */
public interface LinkListener {

  /**
   * Notes that the peer of a connection has introduced itself.
   *
   * @param link the connection
   */
  void opened(Link link);

  /**
   * Takes a message.
   *
   * @param link the connection
   * @param message the message
   */
  void received(Link link, Message message);

  /**
   * Notes that a connection whose peer had introduced itself is closed.
   *
   * @param link the connection
   */
  void closed(Link link);
}
