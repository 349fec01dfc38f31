package org.wigeonstage.telemetry;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.WigeonstageException;

/** Formats the metrics of a registry as JSON or in the Prometheus text format. */
public final class MetricsPage {

  /** The media type of the Prometheus text format. */
  public static final String PROMETHEUS_TEXT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  private static final double NANOS_PER_SECOND = 1e9;

  private final MetricRegistry registry;

  /** Creates the object mapper when JSON is first requested. */
  private static final class MapperHolder {

    static final ObjectMapper INSTANCE =
        new ObjectMapper()
            .registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));

    private MapperHolder() {}
  }

  /**
   * Creates a page.
   *
   * @param registry the metrics
   */
  public MetricsPage(MetricRegistry registry) {
    this.registry = registry;
  }

  /**
   * Returns the metrics as JSON.
   *
   * @return a JSON object
   */
  public String json() {
    try {
      return MapperHolder.INSTANCE.writeValueAsString(registry);
    } catch (JsonProcessingException e) {
      throw new WigeonstageException(ErrorCode.INTERNAL, "cannot write metrics as JSON", e);
    }
  }

  /**
   * Returns the metrics in the Prometheus text format.
   *
   * @return the text, one or more lines per metric
   */
  public String text() {
    StringBuilder out = new StringBuilder();
    Map<String, Metric> sorted = new TreeMap<>(registry.getMetrics());
    String previousName = "";
    for (Map.Entry<String, Metric> entry : sorted.entrySet()) {
      LabelledName labelledName = LabelledName.of(entry.getKey());
      append(out, labelledName, entry.getValue(), !labelledName.name().equals(previousName));
      previousName = labelledName.name();
    }
    return out.toString();
  }

  /** A metric's name in the Prometheus format, and its labels without braces. */
  private record LabelledName(String name, String labels) {

    static LabelledName of(String name) {
      int brace = name.indexOf('{');
      String plainName = brace < 0 ? name : name.substring(0, brace);
      String labels = brace < 0 ? "" : name.substring(brace + 1, name.length() - 1);
      return new LabelledName("wigeonstage_" + plainName.replaceAll("[^A-Za-z0-9_]", "_"), labels);
    }

    String withSuffix(String suffix) {
      return name + suffix + (labels.isEmpty() ? "" : "{" + labels + "}");
    }

    String withQuantile(double quantile) {
      return name + "{" + labels + (labels.isEmpty() ? "" : ",") + "quantile=\"" + quantile + "\"}";
    }
  }

  private static void append(
      StringBuilder out, LabelledName labelledName, Metric metric, boolean isFirstWithName) {
    if (metric instanceof Gauge<?> gauge) {
      if (gauge.getValue() instanceof Number number) {
        appendType(out, labelledName.name() + " gauge", isFirstWithName);
        appendLine(out, labelledName.withSuffix("") + " " + number);
      }
      return;
    }
    if (metric instanceof Sampling sampling) {
      appendType(out, labelledName.name() + " summary", isFirstWithName);
      appendSummary(out, labelledName, sampling.getSnapshot(), metric instanceof Timer);
    }
    if (metric instanceof Counting counting) {
      boolean isSummary = metric instanceof Sampling;
      if (!isSummary) {
        appendType(out, labelledName.name() + "_total counter", isFirstWithName);
      }
      String suffix = isSummary ? "_count" : "_total";
      appendLine(out, labelledName.withSuffix(suffix) + " " + counting.getCount());
    }
  }

  private static void appendSummary(
      StringBuilder out, LabelledName labelledName, Snapshot snapshot, boolean isTimer) {
    double scale = isTimer ? NANOS_PER_SECOND : 1;
    for (double quantile : new double[] {0.5, 0.95, 0.99}) {
      appendLine(
          out, labelledName.withQuantile(quantile) + " " + snapshot.getValue(quantile) / scale);
    }
  }

  /** Appends the type once for all metrics that differ only in their labels. */
  private static void appendType(StringBuilder out, String text, boolean isFirstWithName) {
    if (isFirstWithName) {
      appendLine(out, "# TYPE " + text);
    }
  }

  private static void appendLine(StringBuilder out, String text) {
    out.append(text).append('\n');
  }
}
