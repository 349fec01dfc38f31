package org.wigeonstage.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Header fields of an HTTP message, in order. Names compare without regard to case.
 *
 * @param fields the fields
 */
public record HeaderFields(List<Field> fields) {

  /** No fields. */
  public static final HeaderFields NONE = new HeaderFields(List.of());

  /**
   * One field.
   *
   * @param name the name as it was sent
   * @param value the value without surrounding white space
   */
  public record Field(String name, String value) {}

  /** Makes the list immutable. */
  public HeaderFields {
    fields = List.copyOf(fields);
  }

  /**
   * Returns the value of a field that should occur once.
   *
   * @param name the field's name
   * @return the first value, or empty
   */
  public Optional<String> first(String name) {
    return fields.stream()
        .filter(field -> field.name().equalsIgnoreCase(name))
        .map(Field::value)
        .findFirst();
  }

  /**
   * Returns how often a field occurs.
   *
   * @param name the field's name
   * @return the number of occurrences
   */
  public int count(String name) {
    return (int) fields.stream().filter(field -> field.name().equalsIgnoreCase(name)).count();
  }

  /**
   * Returns whether a comma-separated field holds a token.
   *
   * @param name the field's name
   * @param token the token, in lower case
   * @return whether one of its values holds the token
   */
  public boolean hasToken(String name, String token) {
    return fields.stream()
        .filter(field -> field.name().equalsIgnoreCase(name))
        .flatMap(field -> List.of(field.value().split(",", -1)).stream())
        .anyMatch(value -> value.trim().toLowerCase(Locale.ROOT).equals(token));
  }

  /**
   * Returns these fields without some.
   *
   * @param dropped takes names in lower case
   * @return the remaining fields
   */
  public HeaderFields without(Predicate<String> dropped) {
    return new HeaderFields(
        fields.stream()
            .filter(field -> !dropped.test(field.name().toLowerCase(Locale.ROOT)))
            .toList());
  }

  /**
   * Returns these fields and one more.
   *
   * @param name the name of the new field
   * @param value its value
   * @return all fields
   */
  public HeaderFields with(String name, String value) {
    List<Field> all = new ArrayList<>(fields);
    all.add(new Field(name, value));
    return new HeaderFields(all);
  }
}
