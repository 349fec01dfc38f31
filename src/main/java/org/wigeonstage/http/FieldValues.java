package org.wigeonstage.http;

import com.google.common.base.CharMatcher;
import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * Reads and writes header field values without changing an octet. In a text, each character stands
 * for one octet.
 */
final class FieldValues {

  /** Control characters, which no field value may have, except the tabulator. */
  private static final CharMatcher FORBIDDEN =
      CharMatcher.inRange('\0', '\u001f').and(CharMatcher.isNot('\t')).or(CharMatcher.is('\u007f'));

  private static final CharMatcher PRINTABLE_ASCII = CharMatcher.inRange(' ', '~');

  /** The characters of a request target. */
  private static final CharMatcher TARGET = CharMatcher.inRange('!', '~');

  private FieldValues() {}

  static String read(MimeHeaders fields, int index) {
    return fields.getValue(index).toString(StandardCharsets.ISO_8859_1);
  }

  /** Returns whether HTTP allows all octets of a value. */
  static boolean isValid(String value) {
    return FORBIDDEN.matchesNoneOf(value);
  }

  /** Returns whether HTTP allows all octets of a request target, or of a part of it. */
  static boolean isValidTarget(String target) {
    return TARGET.matchesAllOf(target);
  }

  /** Adds a field. Grizzly would replace other octets than printable ASCII by spaces. */
  static void add(HttpHeader head, String name, String value) {
    if (PRINTABLE_ASCII.matchesAllOf(value)) {
      head.addHeader(name, value);
    } else {
      byte[] octets = value.getBytes(StandardCharsets.ISO_8859_1);
      head.getHeaders().addValue(name).setBytes(octets, 0, octets.length);
    }
  }
}
