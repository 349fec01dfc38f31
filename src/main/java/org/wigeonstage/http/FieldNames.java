package org.wigeonstage.http;

import com.google.common.base.CharMatcher;

/** Checks the names of header and trailer fields. */
final class FieldNames {

  private static final CharMatcher TOKEN_CHARACTERS =
      CharMatcher.inRange('a', 'z')
          .or(CharMatcher.inRange('A', 'Z'))
          .or(CharMatcher.inRange('0', '9'))
          .or(CharMatcher.anyOf("!#$%&'*+-.^_`|~"));

  private FieldNames() {}

  /** Returns whether HTTP allows a name. */
  static boolean isValid(String name) {
    return !name.isEmpty() && isPartValid(name);
  }

  /** Returns whether HTTP allows all characters of a name, or of a part of it. */
  static boolean isPartValid(String part) {
    return TOKEN_CHARACTERS.matchesAllOf(part);
  }
}
