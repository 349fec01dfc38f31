package org.wigeonstage.handover;

/**
 * Identifies a connection of the hand-over protocol, uniquely within a process.
 *
 * @param value the number of the connection
 */
public record LinkId(long value) {

  /**
   * Creates an identifier.
   *
   * @param value the number of the connection
   * @return the identifier
   */
  public static LinkId of(long value) {
    return new LinkId(value);
  }
}
