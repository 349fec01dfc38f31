package org.wigeonstage.common;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.StringWriter;

/** Reads and writes JSON. */
public final class Json {

  /** The maximum depth of nested arrays and objects. Reading uses one stack frame per level. */
  private static final int MAX_NESTING_DEPTH = 100;

  /** The maximum number of characters of a number. */
  private static final int MAX_NUMBER_LENGTH = 100;

  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder()
                  .maxNestingDepth(MAX_NESTING_DEPTH)
                  .maxNumberLength(MAX_NUMBER_LENGTH)
                  .build())
          .build();

  private Json() {}

  /** Defers the loading of the object mapper to its first use; most JSON does not need it. */
  private static final class Mapper {

    static final ObjectMapper INSTANCE =
        JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .build();

    private Mapper() {}
  }

  /**
   * Parses JSON text.
   *
   * @param text the text
   * @return the tree, or a missing node if the text is empty
   * @throws WigeonstageException with {@link ErrorCode#BAD_REQUEST} if the text is not valid JSON
   */
  public static JsonNode parse(String text) {
    return parse(() -> FACTORY.createParser(text), JsonTrees::readSingleValue);
  }

  /**
   * Parses a part of a text that is encoded in UTF-8.
   *
   * @param text the text
   * @param offset the index of the first byte of the value
   * @param length the length of the value in bytes
   * @return the tree, or a missing node if the part is empty
   * @throws WigeonstageException with {@link ErrorCode#BAD_REQUEST} if the part is not valid JSON
   */
  public static JsonNode parse(byte[] text, int offset, int length) {
    return parse(() -> FACTORY.createParser(text, offset, length), JsonTrees::readSingleValue);
  }

  /**
   * Parses the selected parts of a part of a text that is encoded in UTF-8.
   *
   * @param text the text
   * @param offset the index of the first byte of the value
   * @param length the length of the value in bytes
   * @param selection what is kept
   * @return the tree, or a missing node if the part of the text is empty
   * @throws WigeonstageException with {@link ErrorCode#BAD_REQUEST} if the part is not valid JSON
   */
  public static JsonNode parse(byte[] text, int offset, int length, JsonSelection selection) {
    return parse(
        () -> FACTORY.createParser(text, offset, length),
        parser -> JsonTrees.readSingleValue(parser, selection));
  }

  private interface ParserSource {

    JsonParser open() throws IOException;
  }

  private interface TreeReader {

    JsonNode read(JsonParser parser) throws IOException;
  }

  private static JsonNode parse(ParserSource source, TreeReader reader) {
    try (JsonParser parser = source.open()) {
      return reader.read(parser);
    } catch (JsonProcessingException e) {
      throw new WigeonstageException(
          ErrorCode.BAD_REQUEST, "not valid JSON: " + e.getOriginalMessage(), e);
    } catch (IOException e) {
      throw new WigeonstageException(
          ErrorCode.BAD_REQUEST, "not a valid encoding: " + e.getMessage(), e);
    }
  }

  /**
   * Converts a tree to a value.
   *
   * @param tree the tree
   * @param type the class of the value
   * @param <T> the type of the value
   * @return the value
   * @throws WigeonstageException with {@link ErrorCode#BAD_REQUEST} if the tree does not match the
   *     class
   */
  public static <T> T read(JsonNode tree, Class<T> type) {
    try {
      return Mapper.INSTANCE.treeToValue(tree, type);
    } catch (JsonProcessingException e) {
      throw new WigeonstageException(ErrorCode.BAD_REQUEST, e.getOriginalMessage(), e);
    }
  }

  /**
   * Parses JSON text and converts it to a value.
   *
   * @param text the text
   * @param type the class of the value
   * @param <T> the type of the value
   * @return the value
   * @throws WigeonstageException with {@link ErrorCode#BAD_REQUEST} if the text is not valid JSON
   *     or does not match the class
   */
  public static <T> T read(String text, Class<T> type) {
    return read(parse(text), type);
  }

  /**
   * Writes a value as compact JSON.
   *
   * @param value the value
   * @return the JSON text
   */
  public static String write(Object value) {
    StringWriter text = new StringWriter();
    try (JsonGenerator generator = FACTORY.createGenerator(text)) {
      generator.disable(JsonGenerator.Feature.AUTO_CLOSE_JSON_CONTENT);
      if (JsonTrees.write(generator, value)) {
        generator.flush();
        return text.toString();
      }
      return Mapper.INSTANCE.writeValueAsString(value);
    } catch (IOException e) {
      throw new WigeonstageException(ErrorCode.INTERNAL, "can't write JSON", e);
    }
  }

  /**
   * Writes a value as indented JSON.
   *
   * @param value the value
   * @return the JSON text
   */
  public static String writePretty(Object value) {
    try {
      return Mapper.INSTANCE.writerWithDefaultPrettyPrinter().writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new WigeonstageException(ErrorCode.INTERNAL, "can't write JSON", e);
    }
  }

  /**
   * Converts a value to a tree.
   *
   * @param value the value
   * @return the tree
   */
  public static JsonNode toTree(Object value) {
    return Mapper.INSTANCE.valueToTree(value);
  }
}
