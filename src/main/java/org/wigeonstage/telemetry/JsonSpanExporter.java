package org.wigeonstage.telemetry;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.io.PrintStream;
import java.util.Collection;

/** Writes each span as one line of JSON. */
final class JsonSpanExporter implements SpanExporter {

  private static final long NANOS_PER_MICRO = 1000;

  private final PrintStream out;

  JsonSpanExporter(PrintStream out) {
    this.out = out;
  }

  @Override
  public CompletableResultCode export(Collection<SpanData> spans) {
    spans.forEach(span -> out.println(format(span)));
    return CompletableResultCode.ofSuccess();
  }

  private static ObjectNode format(SpanData span) {
    ObjectNode line =
        JsonNodeFactory.instance
            .objectNode()
            .put("span", span.getName())
            .put("traceId", span.getTraceId())
            .put("spanId", span.getSpanId())
            .put("parentSpanId", span.getParentSpanId())
            .put("startMicros", span.getStartEpochNanos() / NANOS_PER_MICRO)
            .put(
                "durationMicros",
                (span.getEndEpochNanos() - span.getStartEpochNanos()) / NANOS_PER_MICRO);
    span.getAttributes().forEach((key, value) -> line.put(key.getKey(), value.toString()));
    return line;
  }

  @Override
  public CompletableResultCode flush() {
    return CompletableResultCode.ofSuccess();
  }

  @Override
  public CompletableResultCode shutdown() {
    return CompletableResultCode.ofSuccess();
  }
}
