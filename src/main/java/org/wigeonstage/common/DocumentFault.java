package org.wigeonstage.common;

import java.util.Comparator;

/**
 * A fault in a JSON document.
 *
 * @param pointer the JSON pointer of the faulty part, or empty for the whole document
 * @param message a description of the fault
 */
public record DocumentFault(String pointer, String message) implements Comparable<DocumentFault> {

  private static final Comparator<DocumentFault> ORDER =
      Comparator.comparing(DocumentFault::pointer).thenComparing(DocumentFault::message);

  @Override
  public int compareTo(DocumentFault other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return (pointer.isEmpty() ? "/" : pointer) + ": " + message;
  }
}
