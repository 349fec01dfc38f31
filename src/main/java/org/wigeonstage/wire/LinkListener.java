package org.wigeonstage.wire;

import org.wigeonstage.handover.Message;

/** Receives the events on the links of a {@link LinkServer} or {@link LinkConnector}. */
public interface LinkListener {

  /**
   * Called when a connection is made, before the hello message of the peer.
   *
   * @param link the link, on which the peer may never send anything
   */
  default void connected(Link link) {}

  /**
   * Called when the hello message of the peer has been received.
   *
   * @param link the link
   */
  void opened(Link link);

  /**
   * Called for each message after the hello message.
   *
   * @param link the link
   * @param message the message
   */
  void received(Link link, Message message);

  /**
   * Called once when a link is closed, if its peer had sent a hello message.
   *
   * @param link the link
   */
  void closed(Link link);
}
