package org.wigeonstage.common;

import java.util.Comparator;

/**
 * Something wrong in a JSON document.
 *
 * @param pointer the JSON pointer of the faulty part; empty for the whole document
 * @param message what is wrong
 */
public record Fault(String pointer, String message) implements Comparable<Fault> {

  private static final Comparator<Fault> ORDER =
      Comparator.comparing(Fault::pointer).thenComparing(Fault::message);

  @Override
  public int compareTo(Fault other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return (pointer.isEmpty() ? "/" : pointer) + ": " + message;
  }
}
