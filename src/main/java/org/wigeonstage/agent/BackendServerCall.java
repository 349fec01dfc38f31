package org.wigeonstage.agent;

import com.codahale.metrics.MetricRegistry;
import io.opentelemetry.api.trace.Span;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.http.ClientExchange;
import org.wigeonstage.http.ResponseListener;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.request.RequestId;

/**
 * The call of one request to the backend server. If the connection fails during the response, the
 * call resumes the stream of the response; it never sends the request again.
 */
final class BackendServerCall implements ResponseListener {

  private static final int MAX_STREAM_RESUME_ATTEMPTS = 3;

  private final RequestId id;
  private final AgentLedgerEffects effects;
  private final MetricRegistry metrics;
  private final Span span;
  private volatile @Nullable ClientExchange exchange;
  private volatile boolean cancelled;
  private long receivedBytes;
  private int streamResumeAttempts;
  private boolean readingPaused;

  BackendServerCall(RequestId id, AgentLedgerEffects effects, MetricRegistry metrics, Span span) {
    this.id = id;
    this.effects = effects;
    this.metrics = metrics;
    this.span = span;
  }

  RequestId id() {
    return id;
  }

  Span span() {
    return span;
  }

  /** Returns the number of bytes of the response body received so far. */
  long receivedBytes() {
    return receivedBytes;
  }

  void updateExchange(ClientExchange newExchange) {
    exchange = newExchange;
    if (readingPaused) {
      newExchange.pause();
    }
  }

  void pauseReading() {
    readingPaused = true;
    ClientExchange current = exchange;
    if (current != null) {
      current.pause();
    }
  }

  void resumeReading() {
    readingPaused = false;
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
    if (streamResumeAttempts == 0) {
      effects.ledger().run(ledger -> ledger.responseStarted(id, status, contentType));
    }
  }

  @Override
  public void onData(byte[] data) {
    receivedBytes += data.length;
    effects.ledger().run(ledger -> ledger.responsePartReceived(id, data));
  }

  @Override
  public void onComplete() {
    finish(Outcome.COMPLETED);
  }

  @Override
  public void onConnectFailure(Throwable cause) {
    if (streamResumeAttempts > 0) {
      onFailure(cause);
      return;
    }
    effects.endCall(this);
    metrics.counter("backend.notConnected").inc();
    effects.ledger().run(ledger -> ledger.dispatchFailed(id));
  }

  @Override
  public void onFailure(Throwable cause) {
    if (!cancelled
        && streamResumeAttempts < MAX_STREAM_RESUME_ATTEMPTS
        && effects.canResumeStreams()) {
      streamResumeAttempts++;
      metrics.counter("backend.resumed").inc();
      effects.resumeStream(this);
    } else {
      metrics.counter("backend.broken").inc();
      finish(Outcome.UNKNOWN);
    }
  }

  private void finish(Outcome outcome) {
    effects.endCall(this);
    effects.ledger().run(ledger -> ledger.responseEnded(id, outcome));
  }
}
