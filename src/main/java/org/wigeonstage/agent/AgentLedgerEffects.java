package org.wigeonstage.agent;

import com.codahale.metrics.MetricRegistry;
import io.opentelemetry.api.trace.Span;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.handover.LinkId;
import org.wigeonstage.handover.Message;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.http.ResponseListener;
import org.wigeonstage.ledger.LedgerEffects;
import org.wigeonstage.request.HttpCall;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.RequestSpec;
import org.wigeonstage.telemetry.Tracing;
import org.wigeonstage.wire.Link;

/**
 * Carries out the decisions of a ledger: sends messages to entries and calls the backend server.
 * Holds the open links and the running calls.
 */
final class AgentLedgerEffects implements LedgerEffects {

  private static final String REQUEST_ID_HEADER = "X-Request-Id";
  private static final long STREAM_RESUME_DELAY_MILLIS = 200;
  private static final byte[] NO_BODY = {};

  private final HttpClient client;
  private final Endpoint backendServerEndpoint;
  private final boolean supportsStreamResume;
  private final MetricRegistry metrics;
  private final Tracing tracing;
  private final ScheduledExecutorService controlExecutor;
  private final Map<LinkId, Link> links = new ConcurrentHashMap<>();
  private final Map<RequestId, BackendServerCall> calls = new ConcurrentHashMap<>();
  private @Nullable LockedLedger ledger;

  AgentLedgerEffects(
      HttpClient client,
      Endpoint backendServerEndpoint,
      boolean supportsStreamResume,
      MetricRegistry metrics,
      Tracing tracing,
      ScheduledExecutorService controlExecutor) {
    this.client = client;
    this.backendServerEndpoint = backendServerEndpoint;
    this.supportsStreamResume = supportsStreamResume;
    this.metrics = metrics;
    this.tracing = tracing;
    this.controlExecutor = controlExecutor;
  }

  /** Sets the ledger. Must be called once, before the ledger is used. */
  void bind(LockedLedger newLedger) {
    ledger = newLedger;
  }

  LockedLedger ledger() {
    return Objects.requireNonNull(ledger, "ledger not bound");
  }

  Map<LinkId, Link> links() {
    return links;
  }

  boolean canResumeStreams() {
    return supportsStreamResume && !controlExecutor.isShutdown();
  }

  @Override
  public void send(LinkId linkId, Message message) {
    Link link = links.get(linkId);
    if (link != null) {
      link.send(message);
    }
  }

  @Override
  public void dispatch(RequestId id, RequestSpec spec, Instant queuedAt) {
    metrics.counter("backend.dispatched").inc();
    tracing.recordSpan("agent queue", spec.traceParent(), queuedAt);
    Span span = tracing.startSpan("backend server", spec.traceParent());
    span.setAttribute("wigeonstage.request", id.value());
    BackendServerCall call = new BackendServerCall(id, this, metrics, span);
    calls.put(id, call);
    Map<String, String> fields = new HashMap<>();
    fields.put(REQUEST_ID_HEADER, id.value());
    @Nullable String traceParent = Tracing.traceParentOf(span);
    if (traceParent != null) {
      fields.put("traceparent", traceParent);
    }
    call.updateExchange(client.send(backendServerEndpoint, spec.call(), fields, call));
  }

  /**
   * Requests the rest of a response stream that ended early, after a delay. The original request is
   * not sent again.
   */
  void resumeStream(BackendServerCall call) {
    controlExecutor.schedule(
        () -> requestRemainder(call), STREAM_RESUME_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void requestRemainder(BackendServerCall call) {
    String path = "/v1/streams/" + call.id().value() + "?offset=" + call.receivedBytes();
    HttpCall remainderCall = new HttpCall("GET", path, null, NO_BODY);
    call.updateExchange(
        client.send(backendServerEndpoint, remainderCall, Map.of(), new RemainderListener(call)));
  }

  @Override
  public void cancel(RequestId id) {
    BackendServerCall call = calls.get(id);
    if (call == null) {
      return;
    }
    call.cancel();
    if (supportsStreamResume) {
      HttpCall delete = new HttpCall("DELETE", "/v1/streams/" + id.value(), null, NO_BODY);
      client.send(backendServerEndpoint, delete, Map.of(), new IgnoringListener());
    }
  }

  @Override
  public void pauseReading(RequestId id) {
    BackendServerCall call = calls.get(id);
    if (call != null) {
      call.pauseReading();
    }
  }

  @Override
  public void resumeReading(RequestId id) {
    BackendServerCall call = calls.get(id);
    if (call != null) {
      call.resumeReading();
    }
  }

  void endCall(BackendServerCall call) {
    calls.remove(call.id());
    call.span().end();
  }

  /**
   * Passes a resumed stream on to its call. If the backend server no longer has the stream, the
   * rest of the response is lost and the call fails without another attempt.
   */
  private static final class RemainderListener implements ResponseListener {

    private static final int OK = 200;

    private final BackendServerCall call;
    private boolean refused;

    RemainderListener(BackendServerCall call) {
      this.call = call;
    }

    @Override
    public void onStart(int status, @Nullable String contentType) {
      refused = status != OK;
    }

    @Override
    public void onData(byte[] data) {
      if (!refused) {
        call.onData(data);
      }
    }

    @Override
    public void onComplete() {
      if (refused) {
        call.cancel();
        call.onFailure(
            new IllegalStateException("the backend server refused to resume the response stream"));
      } else {
        call.onComplete();
      }
    }

    @Override
    public void onConnectFailure(Throwable cause) {
      call.onConnectFailure(cause);
    }

    @Override
    public void onFailure(Throwable cause) {
      call.onFailure(cause);
    }
  }

  /** Ignores the response. */
  private static final class IgnoringListener implements ResponseListener {

    @Override
    public void onStart(int status, @Nullable String contentType) {}

    @Override
    public void onData(byte[] data) {}

    @Override
    public void onComplete() {}

    @Override
    public void onConnectFailure(Throwable cause) {}

    @Override
    public void onFailure(Throwable cause) {}
  }
}
