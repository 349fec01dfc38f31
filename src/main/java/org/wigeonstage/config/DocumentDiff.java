package org.wigeonstage.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/** Lists the differences between two JSON documents. */
final class DocumentDiff {

  private static final int MAX_DIFFERENCES = 20;
  private static final int MAX_VALUE_CHARS = 80;

  private final List<String> differences = new ArrayList<>();

  private DocumentDiff() {}

  /**
   * Returns one line for each difference, with its JSON pointer and both values. Lists only the
   * first {@link #MAX_DIFFERENCES}, followed by a line with the number of the others.
   */
  static List<String> between(JsonNode before, JsonNode after) {
    DocumentDiff diff = new DocumentDiff();
    diff.compare("", before, after);
    if (diff.differences.size() <= MAX_DIFFERENCES) {
      return diff.differences;
    }
    List<String> shown = new ArrayList<>(diff.differences.subList(0, MAX_DIFFERENCES));
    shown.add("and " + (diff.differences.size() - MAX_DIFFERENCES) + " more");
    return shown;
  }

  private void compare(String pointer, JsonNode before, JsonNode after) {
    boolean isEqual =
        before.equals(after) || (before.isNumber() && before.asText().equals(after.asText()));
    if (isEqual) {
      return;
    }
    if (before.isObject() && after.isObject()) {
      TreeSet<String> names = new TreeSet<>();
      before.fieldNames().forEachRemaining(names::add);
      after.fieldNames().forEachRemaining(names::add);
      names.forEach(name -> compare(pointer + "/" + name, before.path(name), after.path(name)));
    } else if (before.isArray() && after.isArray()) {
      int length = Math.max(before.size(), after.size());
      for (int i = 0; i < length; i++) {
        compare(pointer + "/" + i, before.path(i), after.path(i));
      }
    } else {
      String shown = pointer.isEmpty() ? "/" : pointer;
      differences.add(shown + ": " + truncate(before) + " -> " + truncate(after));
    }
  }

  private static String truncate(JsonNode value) {
    String text = value.isMissingNode() || value.isNull() ? "none" : value.toString();
    return text.length() <= MAX_VALUE_CHARS ? text : text.substring(0, MAX_VALUE_CHARS) + "...";
  }
}
