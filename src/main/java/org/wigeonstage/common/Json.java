package org.wigeonstage.common;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.StringWriter;

/** Reads and writes JSON. */
public final class Json {

  private static final JsonFactory FACTORY = new JsonFactory();

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
    try (JsonParser parser = FACTORY.createParser(text)) {
      return JsonTrees.readSingleValue(parser);
    } catch (JsonProcessingException e) {
      throw new WigeonstageException(
          ErrorCode.BAD_REQUEST, "not valid JSON: " + e.getOriginalMessage(), e);
    } catch (IOException e) {
      throw new WigeonstageException(ErrorCode.INTERNAL, "can't read JSON from memory", e);
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
