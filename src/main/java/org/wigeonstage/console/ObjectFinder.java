package org.wigeonstage.console;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.OptionalInt;
import org.wigeonstage.common.Json;

/** Finds an object again in a list that may have been changed since the object was read. */
final class ObjectFinder {

  private final JsonNode objects;

  ObjectFinder(JsonNode objects) {
    this.objects = objects;
  }

  /**
   * Returns the index of the object with the same JSON text, or else of the one with the same name.
   */
  OptionalInt find(String original) {
    if (original.isEmpty()) {
      return OptionalInt.empty();
    }
    for (int i = 0; i < objects.size(); i++) {
      if (objects.path(i).toString().equals(original)) {
        return OptionalInt.of(i);
      }
    }
    String name = Json.parse(original).path("name").asText("");
    return name.isEmpty() ? OptionalInt.empty() : findNamed(name);
  }

  private OptionalInt findNamed(String name) {
    for (int i = 0; i < objects.size(); i++) {
      if (objects.path(i).path("name").asText("").equals(name)) {
        return OptionalInt.of(i);
      }
    }
    return OptionalInt.empty();
  }

  /** Returns the JSON text of the object at an index, or an empty string if the index is empty. */
  String textAt(OptionalInt index) {
    return index.isPresent() ? objects.path(index.getAsInt()).toString() : "";
  }
}
