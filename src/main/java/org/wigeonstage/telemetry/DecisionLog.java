package org.wigeonstage.telemetry;

import com.google.common.flogger.FluentLogger;
import java.util.LinkedHashMap;
import java.util.Map;
import org.wigeonstage.common.Json;

/** Writes one JSON line for each decision or change of belief. */
public final class DecisionLog {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private DecisionLog() {}

  /**
   * Writes a line.
   *
   * @param fields its fields; {@code event} tells what happened
   */
  public static void write(Map<String, Object> fields) {
    logger.atInfo().log("%s", Json.write(fields));
  }

  /**
   * Writes a line with few fields.
   *
   * @param event what happened
   * @param namesAndValues names and values by turns
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
