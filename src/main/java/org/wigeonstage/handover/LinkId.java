package org.wigeonstage.handover;

/**
 * Identifies one connection between an entry and an agent, unique within a process.
 *
 * @param value the number of the connection
 */
public record LinkId(long value) {

  /**
   * Returns the identifier with the given number.
   *
   * @param value the number
   * @return the identifier
   */
  public static LinkId of(long value) {
    return new LinkId(value);
  }
}
