package org.wigeonstage.telemetry;

/** Builds names of metrics with labels. */
public final class MetricName {

  private MetricName() {}

  /**
   * Returns a name with labels, as {@link MetricsPage} writes it: {@code name{label="value",...}}.
   *
   * @param name the name without labels
   * @param labelsAndValues alternating labels and values
   * @return the name under which to register the metric
   */
  public static String of(String name, String... labelsAndValues) {
    StringBuilder text = new StringBuilder(name).append('{');
    for (int i = 0; i + 1 < labelsAndValues.length; i += 2) {
      text.append(i == 0 ? "" : ",").append(labelsAndValues[i]).append("=\"");
      appendEscaped(text, labelsAndValues[i + 1]);
      text.append('"');
    }
    return text.append('}').toString();
  }

  private static void appendEscaped(StringBuilder text, String value) {
    for (int i = 0; i < value.length(); i++) {
      char character = value.charAt(i);
      if (character == '"' || character == '\\') {
        text.append('\\');
      }
      text.append(character == '\n' ? ' ' : character);
    }
  }
}
