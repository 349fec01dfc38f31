package org.wigeonstage.settings;

/**
 * The settings of logs and traces.
 *
 * @param log the format of the log: {@code json}, {@code text}, or {@code auto} for text on a
 *     terminal and JSON elsewhere
 * @param traces where spans are exported: {@code none}, {@code json} for lines on standard error,
 *     or {@code otlp}
 * @param otlpEndpoint the URL of the collector to which {@code otlp} exports
 */
public record TelemetrySettings(String log, String traces, String otlpEndpoint) {

  /** The format of the log depends on the output, and no traces are exported. */
  public static final TelemetrySettings DEFAULTS =
      new TelemetrySettings("auto", "none", "http://127.0.0.1:4318/v1/traces");
}
