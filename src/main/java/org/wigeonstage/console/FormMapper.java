package org.wigeonstage.console;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.StringJoiner;
import org.wigeonstage.common.KeyHash;

/** Converts objects of the configuration document to form fields and back. */
final class FormMapper {

  private FormMapper() {}

  /** Returns the field values that show an object. */
  static FormData toForm(FormKind kind, JsonNode object) {
    Map<String, String> values = new LinkedHashMap<>();
    for (Field field : kind.fields()) {
      values.put(field.name(), toText(field, object.path(field.name())));
    }
    return new FormData(values);
  }

  private static String toText(Field field, JsonNode value) {
    return switch (field.type()) {
      case TEXT, OPTIONAL_TEXT, NUMBER, OPTIONAL_NUMBER -> value.asText("");
      case BOOLEAN -> value.asBoolean() ? "on" : "";
      case LINES -> joinLines(value);
      case MEMBERS -> joinMembers(value);
      case NEW_KEY -> "";
    };
  }

  private static String joinLines(JsonNode list) {
    StringJoiner lines = new StringJoiner("\n");
    list.forEach(item -> lines.add(item.asText()));
    return lines.toString();
  }

  private static String joinMembers(JsonNode list) {
    StringJoiner lines = new StringJoiner("\n");
    list.forEach(
        item -> lines.add(item.path("name").asText() + " " + item.path("failureDomain").asText()));
    return lines.toString();
  }

  /**
   * Returns the object for the given field values. Invalid values are copied; the validation of the
   * document reports them.
   */
  static ObjectNode toObject(FormKind kind, FormData form) {
    ObjectNode object = JsonNodeFactory.instance.objectNode();
    for (Field field : kind.fields()) {
      put(object, field, form.get(field.name()));
    }
    return object;
  }

  private static void put(ObjectNode object, Field field, String value) {
    switch (field.type()) {
      case TEXT -> object.put(field.name(), value);
      case OPTIONAL_TEXT -> {
        if (!value.isEmpty()) {
          object.put(field.name(), value);
        }
      }
      case OPTIONAL_NUMBER -> {
        if (!value.isEmpty()) {
          putNumber(object, field.name(), value);
        }
      }
      case NUMBER -> putNumber(object, field.name(), value);
      case BOOLEAN -> object.put(field.name(), value.equals("on"));
      case LINES -> object.set(field.name(), lines(value));
      case MEMBERS -> object.set(field.name(), members(value));
      case NEW_KEY -> addKey(object, value);
    }
  }

  /** Puts a number, or the text itself if it is not a number; the schema then rejects it. */
  private static void putNumber(ObjectNode object, String name, String value) {
    try {
      double number = Double.parseDouble(value);
      if (number == Math.rint(number)) {
        object.put(name, (long) number);
      } else {
        object.put(name, number);
      }
    } catch (NumberFormatException e) {
      object.put(name, value);
    }
  }

  private static ArrayNode lines(String value) {
    ArrayNode list = JsonNodeFactory.instance.arrayNode();
    value.lines().map(String::strip).filter(line -> !line.isEmpty()).forEach(list::add);
    return list;
  }

  private static ArrayNode members(String value) {
    ArrayNode list = JsonNodeFactory.instance.arrayNode();
    for (JsonNode line : lines(value)) {
      String[] parts = line.asText().split("\\s+", 2);
      list.addObject().put("name", parts[0]).put("failureDomain", parts.length > 1 ? parts[1] : "");
    }
    return list;
  }

  private static void addKey(ObjectNode object, String key) {
    if (!key.isEmpty()) {
      object.withArray("keyHashes").add(KeyHash.of(key));
    }
  }
}
