package org.wigeonstage.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.Json;
import org.wigeonstage.common.JsonSelection;
import org.wigeonstage.common.WigeonstageException;

/**
 * A JSON value whose parts are found by their brackets and quotes, without parsing them.
 *
 * <p>Jackson gives up a whole document at the first value that exceeds a limit or is malformed. The
 * store's lists also contain values of other writers, which must not prevent the other entries from
 * being read. Skipping a part takes constant memory, however deeply it is nested.
 */
final class RawJson {

  /** Longer names belong to no field that is read. */
  private static final int MAX_NAME_BYTES = 64;

  private final byte[] text;
  private final int start;
  private final int end;

  private RawJson(byte[] text, int start, int end) {
    this.text = text;
    this.start = start;
    this.end = end;
  }

  /**
   * Wraps a document.
   *
   * @throws WigeonstageException with {@link ErrorCode#BAD_REQUEST} if it does not consist of one
   *     value with balanced brackets and quotes
   */
  static RawJson of(byte[] text) {
    Scanner scanner = new Scanner(text, 0, text.length);
    RawJson value = scanner.nextValue();
    if (scanner.hasNext()) {
      throw malformed("text after the end of the value");
    }
    return value;
  }

  /**
   * Returns some fields of an object; of several fields with the same name, the last one. Names are
   * compared as written, including escape sequences.
   *
   * @throws WigeonstageException with {@link ErrorCode#BAD_REQUEST} if this is not an object
   */
  Map<String, RawJson> fields(Set<String> names) {
    Scanner scanner = contents('{', '}');
    Map<String, RawJson> fields = new HashMap<>();
    while (scanner.hasNext()) {
      RawJson name = scanner.nextValue();
      if (!name.isString()) {
        throw malformed("a field name is not a string");
      }
      scanner.expect(':');
      RawJson value = scanner.nextValue();
      if (name.length() <= MAX_NAME_BYTES && names.contains(name.textWithoutQuotes())) {
        fields.put(name.textWithoutQuotes(), value);
      }
      scanner.skipSeparator();
    }
    return fields;
  }

  /**
   * Passes the elements of an array to an action one by one.
   *
   * @return the number of elements
   * @throws WigeonstageException with {@link ErrorCode#BAD_REQUEST} if this is not an array
   */
  int forEachElement(Consumer<RawJson> action) {
    Scanner scanner = contents('[', ']');
    int count = 0;
    while (scanner.hasNext()) {
      action.accept(scanner.nextValue());
      count++;
      scanner.skipSeparator();
    }
    return count;
  }

  /**
   * Parses the value within the limits of {@link Json#parse(byte[], int, int)}.
   *
   * @throws WigeonstageException with {@link ErrorCode#BAD_REQUEST} if it is malformed or exceeds a
   *     limit
   */
  JsonNode parse() {
    return Json.parse(text, start, end - start);
  }

  /** Parses the selected parts of the value within the same limits. */
  JsonNode parse(JsonSelection selection) {
    return Json.parse(text, start, end - start, selection);
  }

  /** Returns the length of the value in bytes. */
  int length() {
    return end - start;
  }

  private Scanner contents(char open, char close) {
    if (length() < 2 || text[start] != open || text[end - 1] != close) {
      throw malformed("expected a value in " + open + close);
    }
    return new Scanner(text, start + 1, end - 1);
  }

  private boolean isString() {
    return text[start] == '"';
  }

  private String textWithoutQuotes() {
    return new String(text, start + 1, length() - 2, StandardCharsets.UTF_8);
  }

  private static WigeonstageException malformed(String detail) {
    return new WigeonstageException(ErrorCode.BAD_REQUEST, "not valid JSON: " + detail);
  }

  /** Steps through the values of a text. */
  private static final class Scanner {

    private final byte[] text;
    private final int end;
    private int position;

    Scanner(byte[] text, int start, int end) {
      this.text = text;
      this.position = start;
      this.end = end;
    }

    boolean hasNext() {
      while (position < end && isWhitespace(text[position])) {
        position++;
      }
      return position < end;
    }

    void expect(char expected) {
      if (!hasNext() || text[position] != expected) {
        throw malformed("expected " + expected);
      }
      position++;
    }

    /** Skips the comma between two values. */
    void skipSeparator() {
      if (hasNext()) {
        expect(',');
      }
    }

    RawJson nextValue() {
      if (!hasNext()) {
        throw malformed("a value is missing");
      }
      int start = position;
      switch (text[position]) {
        case '"' -> skipString();
        case '{', '[' -> skipBrackets();
        default -> skipScalar();
      }
      if (position == start) {
        throw malformed("a value is missing");
      }
      return new RawJson(text, start, position);
    }

    private void skipString() {
      position++;
      while (position < end && text[position] != '"') {
        position += text[position] == '\\' ? 2 : 1;
      }
      if (position >= end) {
        throw malformed("a string does not end");
      }
      position++;
    }

    private void skipBrackets() {
      int depth = 0;
      do {
        if (position >= end) {
          throw malformed("a bracket is not closed");
        }
        switch (text[position]) {
          case '"' -> skipString();
          case '{', '[' -> {
            depth++;
            position++;
          }
          case '}', ']' -> {
            depth--;
            position++;
          }
          default -> position++;
        }
      } while (depth > 0);
    }

    private void skipScalar() {
      while (position < end && !isDelimiter(text[position])) {
        position++;
      }
    }

    private static boolean isDelimiter(byte value) {
      return isWhitespace(value)
          || value == ','
          || value == ':'
          || value == '"'
          || value == '{'
          || value == '}'
          || value == '['
          || value == ']';
    }

    private static boolean isWhitespace(byte value) {
      return value == ' ' || value == '\n' || value == '\r' || value == '\t';
    }
  }
}
