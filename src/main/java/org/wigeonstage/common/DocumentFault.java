package org.wigeonstage.common;

import java.util.Comparator;

/**
 * Something wrong in a JSON document.
 *
 * @param pointer the JSON pointer of the faulty part; empty for the whole document
 * @param message what is wrong
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
