package org.wigeonstage.telemetry;

import com.google.common.flogger.FluentLogger;
import java.util.LinkedHashMap;
import java.util.Map;
import org.wigeonstage.common.Json;

/** Logs decisions and changes of state, one JSON object per line. */
public final class DecisionLog {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private DecisionLog() {}

  /**
   * Logs an event.
   *
   * @param fields the fields of the line; the field {@code event} names the event
   */
  public static void write(Map<String, Object> fields) {
    logger.atInfo().log("%s", Json.write(fields));
  }

  /**
   * Logs an event with some fields.
   *
   * @param event the name of the event
   * @param namesAndValues alternating names and values of the fields
   */
  public static void write(String event, Object... namesAndValues) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("event", event);
    for (int i = 0; i + 1 < namesAndValues.length; i += 2) {
      fields.put(String.valueOf(namesAndValues[i]), namesAndValues[i + 1]);
    }
    write(fields);
  }
}
