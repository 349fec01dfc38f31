package org.wigeonstage.http;

/** Receives notifications about callers' connections. */
@FunctionalInterface
public interface ConnectionListener {

  /** A listener that does nothing. */
  ConnectionListener NONE = end -> {};

  /**
   * Called when a connection has closed. Runs on the selector thread and must not block.
   *
   * @param end why the connection closed, and which requests it left unfinished
   */
  void onClose(ConnectionEnd end);
}
