package org.wigeonstage.console;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The fields of a submitted form.
 *
 * @param values the values by name
 */
record FormData(Map<String, String> values) {

  /** Parses a body in the format {@code application/x-www-form-urlencoded}. */
  static FormData of(String body) {
    Map<String, String> values = new LinkedHashMap<>();
    for (String part : body.split("&", -1)) {
      String[] pair = part.split("=", 2);
      if (pair.length == 2) {
        values.put(decode(pair[0]), decode(pair[1]).replace("\r\n", "\n"));
      }
    }
    return new FormData(values);
  }

  private static String decode(String text) {
    return URLDecoder.decode(text, StandardCharsets.UTF_8);
  }

  /**
   * Returns a field's value without surrounding white space, or an empty string if it is absent.
   */
  String get(String name) {
    return values.getOrDefault(name, "").strip();
  }
}
