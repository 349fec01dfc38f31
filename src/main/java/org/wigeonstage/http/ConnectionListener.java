package org.wigeonstage.http;

/** Learns of the ends of callers' connections. */
@FunctionalInterface
public interface ConnectionListener {

  /** Ignores what it learns. */
  ConnectionListener NONE = end -> {};

  /**
   * Notes that a connection ended; called on the thread that reads, must not block.
   *
   * @param end why, and what was left undone
   */
  void onClose(ConnectionEnd end);
}
