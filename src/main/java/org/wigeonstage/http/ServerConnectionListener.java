package org.wigeonstage.http;

/** Receives notifications about connections to servers. */
@FunctionalInterface
public interface ServerConnectionListener {

  /** A listener that does nothing. */
  ServerConnectionListener NONE = end -> {};

  /**
   * Called when a connection has closed, before the call on it ends. Must not block.
   *
   * @param end why the connection closed, and whether it cut a response
   */
  void onClose(ServerConnectionEnd end);
}
