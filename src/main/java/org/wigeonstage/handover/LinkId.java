package org.wigeonstage.handover;

/**
 * Identifies a link, uniquely within a process.
 *
 * @param value the number of the link
 */
public record LinkId(long value) {

  /**
   * Creates an identifier.
   *
   * @param value the number of the link
   * @return the identifier
   */
  public static LinkId of(long value) {
    return new LinkId(value);
  }
}
