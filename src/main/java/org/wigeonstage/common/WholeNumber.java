package org.wigeonstage.common;

import java.util.OptionalLong;

/**
 * Parses whole numbers in header fields and events, without creating exceptions for malformed ones.
 * Called several times for each request.
 */
public final class WholeNumber {

  /** The largest number of digits that always fits into a long. */
  private static final int MAX_DIGITS = 18;

  private WholeNumber() {}

  /**
   * Parses a number without a sign.
   *
   * @param text the text
   * @return the number, or empty if the text is not 1 to 18 digits
   */
  public static OptionalLong parse(String text) {
    if (text.isEmpty() || text.length() > MAX_DIGITS) {
      return OptionalLong.empty();
    }
    long number = 0;
    for (int i = 0; i < text.length(); i++) {
      char digit = text.charAt(i);
      if (digit < '0' || digit > '9') {
        return OptionalLong.empty();
      }
      number = 10 * number + (digit - '0');
    }
    return OptionalLong.of(number);
  }
}
