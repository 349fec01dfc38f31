package org.wigeonstage.telemetry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.wigeonstage.common.Json;
import org.wigeonstage.common.WigeonstageException;

/** Gathers the lines about one request from the logs of several processes, in order of time. */
public final class RequestHistory {

  private static final Set<String> HEADING = Set.of("time", "process", "event", "request");

  private final String requestId;
  private final List<JsonNode> entries = new ArrayList<>();
  private int unreadableLines;

  /**
   * Creates an empty story.
   *
   * @param requestId the request
   */
  public RequestHistory(String requestId) {
    this.requestId = requestId;
  }

  /**
   * Takes a line of a log. What stands before the first brace is passed over.
   *
   * @param line the line
   */
  public void add(String line) {
    if (!line.contains(requestId)) {
      return;
    }
    int start = line.indexOf('{');
    try {
      JsonNode entry = Json.parse(start < 0 ? line : line.substring(start));
      if (entry.path("request").asText().equals(requestId)) {
        entries.add(entry);
      }
    } catch (WigeonstageException e) {
      unreadableLines++;
    }
  }

  /**
   * Returns the story.
   *
   * @return a line for each decision: time, process, event, and what it rested on
   */
  public List<String> lines() {
    return entries.stream()
        .sorted(Comparator.comparing(entry -> entry.path("time").asText()))
        .map(RequestHistory::format)
        .toList();
  }

  private static String format(JsonNode entry) {
    String details =
        ((ObjectNode) entry)
            .properties().stream()
                .filter(field -> !HEADING.contains(field.getKey()))
                .map(field -> field.getKey() + "=" + field.getValue().asText())
                .collect(Collectors.joining(" "));
    return "%s %s %s %s"
        .formatted(
            entry.path("time").asText(),
            entry.path("process").asText(),
            entry.path("event").asText(),
            details)
        .trim();
  }

  /**
   * Returns how many lines named the request and could not be read.
   *
   * @return the number
   */
  public int unreadableLines() {
    return unreadableLines;
  }
}
