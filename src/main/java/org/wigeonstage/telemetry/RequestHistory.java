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

/** Collects the log lines about one request from several processes and orders them by time. */
public final class RequestHistory {

  private static final Set<String> LEADING_FIELDS = Set.of("time", "process", "event", "request");

  private final String requestId;
  private final List<JsonNode> entries = new ArrayList<>();
  private int unreadableLines;

  /**
   * Creates an empty history.
   *
   * @param requestId the ID of the request
   */
  public RequestHistory(String requestId) {
    this.requestId = requestId;
  }

  /**
   * Adds a line of a log if it is about the request. Text before the first brace is ignored.
   *
   * @param line the log line
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
   * Returns the lines about the request in order of time.
   *
   * @return for each event its time, process, name and other fields
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
                .filter(field -> !LEADING_FIELDS.contains(field.getKey()))
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
   * Returns how many lines contain the request ID but could not be parsed.
   *
   * @return the number of lines
   */
  public int unreadableLines() {
    return unreadableLines;
  }
}
