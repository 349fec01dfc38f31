package org.wigeonstage.common;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Reads and writes trees and plain collections with Jackson's streaming API. Loading its object
 * mapper takes 100 ms of processor time, which would delay a restarted process.
 */
final class JsonTrees {

  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private JsonTrees() {}

  /** Reads a text that contains a single value. Returns a missing node if the text is empty. */
  static JsonNode readSingleValue(JsonParser parser) throws IOException {
    if (parser.nextToken() == null) {
      return MissingNode.getInstance();
    }
    JsonNode tree = read(parser);
    checkEnd(parser);
    return tree;
  }

  private static JsonNode read(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> readObject(parser);
      case START_ARRAY -> readArray(parser);
      case VALUE_STRING -> NODES.textNode(parser.getText());
      case VALUE_NUMBER_INT -> readInteger(parser);
      case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
      case VALUE_TRUE -> NODES.booleanNode(true);
      case VALUE_FALSE -> NODES.booleanNode(false);
      case VALUE_NULL -> NODES.nullNode();
      default -> throw new JsonParseException(parser, "unexpected token " + parser.currentToken());
    };
  }

  /** Reads the selected parts of a text that contains a single value. */
  static JsonNode readSingleValue(JsonParser parser, JsonSelection selection) throws IOException {
    if (parser.nextToken() == null) {
      return MissingNode.getInstance();
    }
    JsonNode tree = read(parser, selection);
    checkEnd(parser);
    return tree;
  }

  private static JsonNode read(JsonParser parser, JsonSelection selection) throws IOException {
    JsonToken token = parser.currentToken();
    JsonSelection items = selection.items();
    if (token == JsonToken.START_OBJECT && selection.selectsFields()) {
      return readFields(parser, selection);
    }
    if (token == JsonToken.START_ARRAY && items != null) {
      ArrayNode array = NODES.arrayNode();
      while (parser.nextToken() != JsonToken.END_ARRAY) {
        array.add(read(parser, items));
      }
      return array;
    }
    boolean isSelected =
        token.isScalarValue()
            && selection.isScalar()
            && (token != JsonToken.VALUE_STRING
                || parser.getTextLength() <= selection.maxTextLength());
    if (isSelected) {
      return read(parser);
    }
    parser.skipChildren();
    return NODES.nullNode();
  }

  private static JsonNode readFields(JsonParser parser, JsonSelection selection)
      throws IOException {
    ObjectNode object = NODES.objectNode();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      JsonSelection field = selection.field(parser.currentName());
      String name = field == null ? "" : parser.currentName();
      parser.nextToken();
      if (field == null) {
        parser.skipChildren();
      } else {
        object.set(name, read(parser, field));
      }
    }
    return object;
  }

  private static void checkEnd(JsonParser parser) throws IOException {
    if (parser.nextToken() != null) {
      throw new JsonParseException(
          parser, "unexpected token " + parser.currentToken() + " after the end of the value");
    }
  }

  private static JsonNode readObject(JsonParser parser) throws IOException {
    ObjectNode object = NODES.objectNode();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      parser.nextToken();
      object.set(name, read(parser));
    }
    return object;
  }

  private static JsonNode readArray(JsonParser parser) throws IOException {
    ArrayNode array = NODES.arrayNode();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      array.add(read(parser));
    }
    return array;
  }

  private static JsonNode readInteger(JsonParser parser) throws IOException {
    return switch (parser.getNumberType()) {
      case INT -> NODES.numberNode(parser.getIntValue());
      case LONG -> NODES.numberNode(parser.getLongValue());
      default -> NODES.numberNode(parser.getBigIntegerValue());
    };
  }

  /**
   * Writes a value if it is a tree, a collection or a simple value.
   *
   * @return whether it was written; if not, the caller needs the object mapper
   */
  static boolean write(JsonGenerator generator, @Nullable Object value) throws IOException {
    if (value == null) {
      generator.writeNull();
    } else if (value instanceof JsonNode node) {
      writeNode(generator, node);
    } else if (value instanceof Map<?, ?> map) {
      return writeMap(generator, map);
    } else if (value instanceof Iterable<?> items) {
      return writeItems(generator, items);
    } else if (value instanceof Boolean flag) {
      generator.writeBoolean(flag);
    } else if (value instanceof Integer || value instanceof Long) {
      generator.writeNumber(((Number) value).longValue());
    } else if (value instanceof Double number) {
      generator.writeNumber(number);
    } else if (value instanceof String text) {
      generator.writeString(text);
    } else if (value instanceof Enum<?> constant) {
      generator.writeString(constant.name());
    } else {
      return false;
    }
    return true;
  }

  private static boolean writeMap(JsonGenerator generator, Map<?, ?> map) throws IOException {
    generator.writeStartObject();
    for (Map.Entry<?, ?> entry : map.entrySet()) {
      generator.writeFieldName(String.valueOf(entry.getKey()));
      if (!write(generator, entry.getValue())) {
        return false;
      }
    }
    generator.writeEndObject();
    return true;
  }

  private static boolean writeItems(JsonGenerator generator, Iterable<?> items) throws IOException {
    generator.writeStartArray();
    for (Object item : items) {
      if (!write(generator, item)) {
        return false;
      }
    }
    generator.writeEndArray();
    return true;
  }

  private static void writeNode(JsonGenerator generator, JsonNode node) throws IOException {
    switch (node.getNodeType()) {
      case OBJECT -> {
        generator.writeStartObject();
        for (Map.Entry<String, JsonNode> field : node.properties()) {
          generator.writeFieldName(field.getKey());
          writeNode(generator, field.getValue());
        }
        generator.writeEndObject();
      }
      case ARRAY -> {
        generator.writeStartArray();
        for (JsonNode item : node) {
          writeNode(generator, item);
        }
        generator.writeEndArray();
      }
      case STRING -> generator.writeString(node.asText());
      case BOOLEAN -> generator.writeBoolean(node.asBoolean());
      case NUMBER -> generator.writeNumber(node.asText());
      case NULL, MISSING -> generator.writeNull();
      default -> generator.writeString(node.asText());
    }
  }
}
