package org.wigeonstage.telemetry;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanContext;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import java.io.Closeable;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.settings.TelemetrySettings;

/** Creates the spans of this process and converts W3C trace contexts. */
public final class Tracing implements Closeable {

  private static final String TRACE_PARENT_FIELD = "traceparent";

  private final SdkTracerProvider provider;
  private final Tracer tracer;

  private Tracing(SdkTracerProvider provider) {
    this.provider = provider;
    this.tracer = provider.get("wigeonstage");
  }

  /**
   * Starts tracing.
   *
   * @param process the name of the process
   * @param settings selects the exporter
   * @return the tracing, to be closed by the caller
   */
  public static Tracing start(String process, TelemetrySettings settings) {
    Resource resource =
        Resource.create(Attributes.of(AttributeKey.stringKey("service.name"), process));
    var builder = SdkTracerProvider.builder().setResource(resource);
    if (settings.traces().equals("json")) {
      builder.addSpanProcessor(SimpleSpanProcessor.create(new JsonSpanExporter(System.err)));
    } else if (settings.traces().equals("otlp")) {
      var exporter = OtlpHttpSpanExporter.builder().setEndpoint(settings.otlpEndpoint()).build();
      builder.addSpanProcessor(BatchSpanProcessor.builder(exporter).build());
    }
    return new Tracing(builder.build());
  }

  /**
   * Starts a span.
   *
   * @param name the name of the span
   * @param traceParent the W3C trace context of the parent, or null
   * @return the span, to be ended by the caller
   */
  public Span startSpan(String name, @Nullable String traceParent) {
    return tracer.spanBuilder(name).setParent(contextOf(traceParent)).startSpan();
  }

  /**
   * Records a span that ends now.
   *
   * @param name the name of the span
   * @param traceParent the W3C trace context of the parent, or null
   * @param startedAt when the span started
   */
  public void recordSpan(String name, @Nullable String traceParent, Instant startedAt) {
    tracer
        .spanBuilder(name)
        .setParent(contextOf(traceParent))
        .setStartTimestamp(startedAt)
        .startSpan()
        .end();
  }

  private static Context contextOf(@Nullable String traceParent) {
    if (traceParent == null) {
      return Context.root();
    }
    return W3CTraceContextPropagator.getInstance()
        .extract(Context.root(), Map.of(TRACE_PARENT_FIELD, traceParent), new MapGetter());
  }

  /**
   * Returns the trace context that makes other spans children of a span.
   *
   * @param span the parent
   * @return the value of a {@code traceparent} field, or null if the span has no valid context
   */
  public static @Nullable String traceParentOf(Span span) {
    SpanContext context = span.getSpanContext();
    if (!context.isValid()) {
      return null;
    }
    Map<String, String> carrier = new HashMap<>();
    W3CTraceContextPropagator.getInstance()
        .inject(
            Context.root().with(span),
            carrier,
            (map, key, value) -> {
              if (map != null) {
                map.put(key, value);
              }
            });
    return carrier.get(TRACE_PARENT_FIELD);
  }

  @Override
  public void close() {
    provider.close();
  }

  /** Reads the fields of a trace context from a map. */
  private static final class MapGetter implements TextMapGetter<Map<String, String>> {

    @Override
    public Iterable<String> keys(Map<String, String> carrier) {
      return List.copyOf(carrier.keySet());
    }

    @Override
    public @Nullable String get(@Nullable Map<String, String> carrier, String key) {
      return carrier == null ? null : carrier.get(key);
    }
  }
}
