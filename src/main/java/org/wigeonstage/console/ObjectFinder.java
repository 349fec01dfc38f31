package org.wigeonstage.console;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.OptionalInt;
import org.wigeonstage.common.Json;

/** Finds an object again in a list that someone else may have changed. */
final class ObjectFinder {

  private final JsonNode objects;

  ObjectFinder(JsonNode objects) {
    this.objects = objects;
  }

  /** Returns the place of an object: of the same text, or else of the same name. */
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

  /** Returns the text of the object at a place, or the empty text. */
  String textAt(OptionalInt index) {
    return index.isPresent() ? objects.path(index.getAsInt()).toString() : "";
  }
}
