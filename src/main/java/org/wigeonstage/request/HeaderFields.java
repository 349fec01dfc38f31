package org.wigeonstage.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The header fields of an HTTP message, in order. Names are case-insensitive.
 *
 * @param fields the fields in the order of the message
 */
public record HeaderFields(List<Field> fields) {

  public static final HeaderFields NONE = new HeaderFields(List.of());

  /**
   * A header field.
   *
   * @param name the name as received
   * @param value the value without leading and trailing white space; each character stands for one
   *     octet, because other servers may use any encoding
   */
  public record Field(String name, String value) {

    /**
     * Creates a field whose value is sent as UTF-8.
     *
     * @param name the name
     * @param text the text to send
     * @return the field
     */
    public static Field ofText(String name, String text) {
      byte[] octets = text.getBytes(StandardCharsets.UTF_8);
      return new Field(name, new String(octets, StandardCharsets.ISO_8859_1));
    }
  }

  /** Copies the list. */
  public HeaderFields {
    fields = List.copyOf(fields);
  }

  /**
   * Returns the first value of a field.
   *
   * @param name the field's name
   * @return the value, or empty if the field is absent
   */
  public Optional<String> first(String name) {
    return fields.stream()
        .filter(field -> field.name().equalsIgnoreCase(name))
        .map(Field::value)
        .findFirst();
  }

  /**
   * Returns the number of occurrences of a field.
   *
   * @param name the field's name
   * @return the number of occurrences
   */
  public int count(String name) {
    return (int) fields.stream().filter(field -> field.name().equalsIgnoreCase(name)).count();
  }

  /**
   * Returns whether a comma-separated field contains a token, ignoring case.
   *
   * @param name the field's name
   * @param token the token, in lower case
   * @return whether any occurrence of the field contains the token
   */
  public boolean hasToken(String name, String token) {
    return fields.stream()
        .filter(field -> field.name().equalsIgnoreCase(name))
        .flatMap(field -> List.of(field.value().split(",", -1)).stream())
        .anyMatch(value -> value.trim().toLowerCase(Locale.ROOT).equals(token));
  }

  /**
   * Returns a copy without the fields whose names match.
   *
   * @param nameFilter receives the names in lower case and selects the fields to remove
   * @return the remaining fields
   */
  public HeaderFields without(Predicate<String> nameFilter) {
    return new HeaderFields(
        fields.stream()
            .filter(field -> !nameFilter.test(field.name().toLowerCase(Locale.ROOT)))
            .toList());
  }

  /**
   * Returns a copy with one field appended.
   *
   * @param name the name of the new field
   * @param value the value of the new field
   * @return all fields
   */
  public HeaderFields with(String name, String value) {
    List<Field> all = new ArrayList<>(fields);
    all.add(new Field(name, value));
    return new HeaderFields(all);
  }
}
