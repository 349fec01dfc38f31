package org.wigeonstage.common;

import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Selects the parts of a JSON value that are kept when it is parsed. All others are checked and
 * skipped, so that the size of the tree does not depend on what somebody else adds to the value. A
 * selected part of another kind than the selection states becomes a null node.
 */
public final class JsonSelection {

  private final Map<String, JsonSelection> fields;
  private final @Nullable JsonSelection items;
  private final int maxTextLength;

  private JsonSelection(
      Map<String, JsonSelection> fields, @Nullable JsonSelection items, int maxTextLength) {
    this.fields = fields;
    this.items = items;
    this.maxTextLength = maxTextLength;
  }

  /**
   * Selects a text, a number or a boolean.
   *
   * @param maxTextLength the maximum number of characters of a text
   * @return the selection
   */
  public static JsonSelection scalar(int maxTextLength) {
    return new JsonSelection(Map.of(), null, maxTextLength);
  }

  /**
   * Selects an object with some of its fields.
   *
   * @param fields the selection for each field
   * @return the selection
   */
  public static JsonSelection fields(Map<String, JsonSelection> fields) {
    return new JsonSelection(Map.copyOf(fields), null, 0);
  }

  /**
   * Selects an object with some of its fields.
   *
   * @param selection the selection for each field
   * @param names the names of the fields
   * @return the selection
   */
  public static JsonSelection fields(JsonSelection selection, String... names) {
    return fields(Stream.of(names).collect(Collectors.toMap(name -> name, name -> selection)));
  }

  /**
   * Selects an array.
   *
   * @param items the selection for each of its items
   * @return the selection
   */
  public static JsonSelection items(JsonSelection items) {
    return new JsonSelection(Map.of(), items, 0);
  }

  boolean isScalar() {
    return fields.isEmpty() && items == null;
  }

  int maxTextLength() {
    return maxTextLength;
  }

  /** Returns the selection for a field, or null if it is not selected. */
  @Nullable JsonSelection field(String name) {
    return fields.get(name);
  }

  /** Returns the selection for the items of an array, or null if no array is selected. */
  @Nullable JsonSelection items() {
    return items;
  }

  boolean selectsFields() {
    return !fields.isEmpty();
  }
}
