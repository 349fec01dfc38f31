package org.wigeonstage.settings;

/**
 * Settings of logs and traces.
 *
 * @param log {@code json}, {@code text}, or {@code auto} for text on a terminal and JSON elsewhere
 * @param traces {@code none}, {@code json} for lines on standard error, or {@code otlp}
 * @param otlpEndpoint the collector's URL for {@code otlp}
 */
public record TelemetrySettings(String log, String traces, String otlpEndpoint) {

  /** Logs by the kind of output, and no traces. */
  public static final TelemetrySettings DEFAULTS =
      new TelemetrySettings("auto", "none", "http://127.0.0.1:4318/v1/traces");
}
