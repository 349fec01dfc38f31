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

/** Carries out a ledger's decisions: messages to entries and calls to the backend server. */
final class AgentLedgerEffects implements LedgerEffects {

  private static final String ID_HEADER = "X-Request-Id";
  private static final long RESUME_DELAY_MILLIS = 200;
  private static final byte[] NO_BODY = {};

  private final HttpClient client;
  private final Endpoint backendServer;
  private final boolean resumable;
  private final MetricRegistry metrics;
  private final Tracing tracing;
  private final ScheduledExecutorService control;
  private final Map<LinkId, Link> links = new ConcurrentHashMap<>();
  private final Map<RequestId, BackendServerCall> calls = new ConcurrentHashMap<>();
  private @Nullable LockedLedger ledger;

  AgentLedgerEffects(
      HttpClient client,
      Endpoint backendServer,
      boolean resumable,
      MetricRegistry metrics,
      Tracing tracing,
      ScheduledExecutorService control) {
    this.client = client;
    this.backendServer = backendServer;
    this.resumable = resumable;
    this.metrics = metrics;
    this.tracing = tracing;
    this.control = control;
  }

  /** Sets the ledger whose decisions are carried out; called once, before any decision. */
  void bind(LockedLedger newLedger) {
    ledger = newLedger;
  }

  LockedLedger ledger() {
    return Objects.requireNonNull(ledger, "ledger not bound");
  }

  Map<LinkId, Link> links() {
    return links;
  }

  boolean canResume() {
    return resumable && !control.isShutdown();
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
    Map<String, String> headers = new HashMap<>();
    headers.put(ID_HEADER, id.value());
    @Nullable String traceParent = Tracing.traceParentOf(span);
    if (traceParent != null) {
      headers.put("traceparent", traceParent);
    }
    call.exchange(client.send(backendServer, spec.call(), headers, call));
  }

  /** Asks the engine for the rest of a stream that broke off; the request is not sent again. */
  void resumeStream(BackendServerCall call) {
    control.schedule(() -> requestRest(call), RESUME_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void requestRest(BackendServerCall call) {
    String path = "/v1/streams/" + call.id().value() + "?offset=" + call.received();
    HttpCall rest = new HttpCall("GET", path, null, NO_BODY);
    call.exchange(client.send(backendServer, rest, Map.of(), new RestListener(call)));
  }

  @Override
  public void cancel(RequestId id) {
    BackendServerCall call = calls.get(id);
    if (call == null) {
      return;
    }
    call.cancel();
    if (resumable) {
      HttpCall delete = new HttpCall("DELETE", "/v1/streams/" + id.value(), null, NO_BODY);
      client.send(backendServer, delete, Map.of(), new IgnoringListener());
    }
  }

  @Override
  public void pauseReading(RequestId id) {
    BackendServerCall call = calls.get(id);
    if (call != null) {
      call.pause();
    }
  }

  @Override
  public void resumeReading(RequestId id) {
    BackendServerCall call = calls.get(id);
    if (call != null) {
      call.resume();
    }
  }

  void remove(BackendServerCall call) {
    calls.remove(call.id());
    call.span().end();
  }

  /** Follows a resumed stream; an engine that does not know the stream has lost the answer. */
  private static final class RestListener implements ResponseListener {

    private static final int OK = 200;

    private final BackendServerCall call;
    private boolean refused;

    RestListener(BackendServerCall call) {
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
        call.onFailure(new IllegalStateException("the engine does not know the stream"));
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

  /** Ignores an answer. */
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
