package org.wigeonstage.common;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** Reads and writes JSON. */
public final class Json {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .build();

  private Json() {}

  /**
   * Parses a text.
   *
   * @param text the text
   * @return the tree
   * @throws WigeonstageException with {@link ErrorCode#BAD_REQUEST} where it is no JSON
   */
  public static JsonNode parse(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      throw new WigeonstageException(
          ErrorCode.BAD_REQUEST, "not valid JSON: " + e.getOriginalMessage(), e);
    }
  }

  /**
   * Reads a value from a tree.
   *
   * @param tree the tree
   * @param type the value's class
   * @param <T> the value's type
   * @return the value
   * @throws WigeonstageException with {@link ErrorCode#BAD_REQUEST} where the tree has another
   *     shape
   */
  public static <T> T read(JsonNode tree, Class<T> type) {
    try {
      return MAPPER.treeToValue(tree, type);
    } catch (JsonProcessingException e) {
      throw new WigeonstageException(ErrorCode.BAD_REQUEST, e.getOriginalMessage(), e);
    }
  }

  /**
   * Reads a value from a text.
   *
   * @param text the text
   * @param type the value's class
   * @param <T> the value's type
   * @return the value
   */
  public static <T> T read(String text, Class<T> type) {
    return read(parse(text), type);
  }

  /**
   * Writes a value as compact text.
   *
   * @param value the value
   * @return its JSON text
   */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new WigeonstageException(ErrorCode.INTERNAL, "can't write JSON", e);
    }
  }

  /**
   * Writes a value as indented text.
   *
   * @param value the value
   * @return its JSON text
   */
  public static String writePretty(Object value) {
    try {
      return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new WigeonstageException(ErrorCode.INTERNAL, "can't write JSON", e);
    }
  }

  /**
   * Turns a value into a tree.
   *
   * @param value the value
   * @return the tree
   */
  public static JsonNode tree(Object value) {
    return MAPPER.valueToTree(value);
  }
}
