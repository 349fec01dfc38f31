package org.wigeonstage.agent;

import com.codahale.metrics.MetricRegistry;
import io.opentelemetry.api.trace.Span;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.http.ClientExchange;
import org.wigeonstage.http.ResponseListener;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.request.RequestId;

/** One request at the backend server, from its only dispatch to the end of its answer. */
final class BackendServerCall implements ResponseListener {

  private static final int MAX_RESUMES = 3;

  private final RequestId id;
  private final AgentLedgerEffects caller;
  private final MetricRegistry metrics;
  private final Span span;
  private volatile @Nullable ClientExchange exchange;
  private volatile boolean cancelled;
  private long received;
  private int resumes;
  private boolean paused;

  BackendServerCall(RequestId id, AgentLedgerEffects caller, MetricRegistry metrics, Span span) {
    this.id = id;
    this.caller = caller;
    this.metrics = metrics;
    this.span = span;
  }

  RequestId id() {
    return id;
  }

  Span span() {
    return span;
  }

  long received() {
    return received;
  }

  void exchange(ClientExchange newExchange) {
    exchange = newExchange;
    if (paused) {
      newExchange.pause();
    }
  }

  void pause() {
    paused = true;
    ClientExchange current = exchange;
    if (current != null) {
      current.pause();
    }
  }

  void resume() {
    paused = false;
    ClientExchange current = exchange;
    if (current != null) {
      current.resume();
    }
  }

  void cancel() {
    cancelled = true;
    ClientExchange current = exchange;
    if (current != null) {
      current.abort();
    }
  }

  @Override
  public void onStart(int status, @Nullable String contentType) {
    if (resumes == 0) {
      caller.ledger().run(ledger -> ledger.responseStarted(id, status, contentType));
    }
  }

  @Override
  public void onData(byte[] data) {
    received += data.length;
    caller.ledger().run(ledger -> ledger.responsePartReceived(id, data));
  }

  @Override
  public void onComplete() {
    finish(Outcome.COMPLETED);
  }

  @Override
  public void onConnectFailure(Throwable cause) {
    if (resumes > 0) {
      onFailure(cause);
      return;
    }
    caller.remove(this);
    metrics.counter("backend.notConnected").inc();
    caller.ledger().run(ledger -> ledger.dispatchFailed(id));
  }

  @Override
  public void onFailure(Throwable cause) {
    if (!cancelled && resumes < MAX_RESUMES && caller.canResume()) {
      resumes++;
      metrics.counter("backend.resumed").inc();
      caller.resumeStream(this);
    } else {
      metrics.counter("backend.broken").inc();
      finish(Outcome.UNKNOWN);
    }
  }

  private void finish(Outcome outcome) {
    caller.remove(this);
    caller.ledger().run(ledger -> ledger.responseEnded(id, outcome));
  }
}
