package org.wigeonstage.http;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * The pipelined requests of one connection: the request being handled and those queued behind it.
 * Decides which request is handled next and when the connection may close, but performs no I/O.
 * Thread-safe.
 *
 * <p>Designed for a connection that has to close (because it is idle, the caller pipelines too
 * much, or the process is stopping) just as a request arrives or is being handled: requests that
 * were accepted receive their responses before the connection closes, and later ones are not
 * accepted.
 *
 * @param <R> the type of the requests
 */
final class RequestPipeline<R> {

  /** Maximum number of queued requests; few callers pipeline at all. */
  private static final int MAX_QUEUED_REQUESTS = 32;

  /** Maximum total size of the bodies of queued requests. */
  private static final int MAX_QUEUED_BYTES = 1024 * 1024;

  /** What happens to a request that was added after it had been read completely. */
  enum AddResult {
    /** The request is handled now. */
    HANDLE_NOW,
    /** The request is queued behind earlier ones. */
    QUEUED,
    /** The request is queued, and is the last one that the connection accepts. */
    QUEUED_LAST,
    /** The request is not accepted, because the connection is closing. */
    NOT_ACCEPTED
  }

  private enum Phase {
    ACCEPTING,
    DRAINING,
    CLOSED
  }

  private record QueuedRequest<R>(R request, int bodyBytes) {}

  private final Deque<QueuedRequest<R>> queue = new ArrayDeque<>();
  private Phase phase = Phase.ACCEPTING;
  private @Nullable R current;
  private int queuedBytes;
  private boolean isContinueDeferred;
  private Duration lastActivityAt;

  RequestPipeline(Duration now) {
    this.lastActivityAt = now;
  }

  /** Adds a request that was read completely. */
  synchronized AddResult add(R request, int bodyBytes) {
    if (phase != Phase.ACCEPTING) {
      return AddResult.NOT_ACCEPTED;
    }
    if (current == null) {
      current = request;
      return AddResult.HANDLE_NOW;
    }
    queue.addLast(new QueuedRequest<>(request, bodyBytes));
    queuedBytes += bodyBytes;
    if (queue.size() < MAX_QUEUED_REQUESTS && queuedBytes < MAX_QUEUED_BYTES) {
      return AddResult.QUEUED;
    }
    phase = Phase.DRAINING;
    return AddResult.QUEUED_LAST;
  }

  /**
   * Completes the current request, whose response was delivered.
   *
   * @param keepsConnection whether the connection may serve further requests
   * @param now the current time
   * @return the next request to handle, or null if there is none
   */
  synchronized @Nullable R completeCurrent(boolean keepsConnection, Duration now) {
    lastActivityAt = now;
    if (!keepsConnection) {
      queue.clear();
      phase = phase == Phase.ACCEPTING ? Phase.DRAINING : phase;
    }
    QueuedRequest<R> next = queue.pollFirst();
    queuedBytes -= next == null ? queuedBytes : next.bodyBytes();
    current = next == null ? null : next.request();
    return current;
  }

  /** Stops accepting requests; the connection closes after the accepted ones. */
  synchronized void drain() {
    phase = phase == Phase.ACCEPTING ? Phase.DRAINING : phase;
  }

  /**
   * Stops accepting requests if there was no activity for longer than a limit; returns whether this
   * call did so.
   */
  synchronized boolean drainIfIdle(Duration now, Duration limit) {
    boolean isIdle = current == null && now.minus(lastActivityAt).compareTo(limit) > 0;
    if (phase != Phase.ACCEPTING || !isIdle) {
      return false;
    }
    phase = Phase.DRAINING;
    return true;
  }

  /** Marks a drained pipeline as closed; returns true once, when the connection must be closed. */
  synchronized boolean closeIfDrained() {
    if (phase != Phase.DRAINING || current != null) {
      return false;
    }
    phase = Phase.CLOSED;
    return true;
  }

  /** Closes the pipeline at once and discards the queued requests. */
  synchronized void abort() {
    phase = Phase.CLOSED;
    queue.clear();
  }

  /** Records that data was read from the connection. */
  synchronized void recordRead(Duration now) {
    lastActivityAt = now;
  }

  synchronized boolean isAccepting() {
    return phase == Phase.ACCEPTING;
  }

  /** Returns whether the response to the current request is the last one on the connection. */
  synchronized boolean isCurrentLast() {
    return phase != Phase.ACCEPTING && queue.isEmpty();
  }

  /** Returns the number of accepted requests whose responses are not complete. */
  synchronized int unansweredCount() {
    return unansweredCount(null);
  }

  /**
   * Returns the number of accepted requests whose responses are not complete.
   *
   * @param answered a request whose response was delivered, but that may still be the current one
   */
  synchronized int unansweredCount(@Nullable R answered) {
    return queue.size() + (current == null || current == answered ? 0 : 1);
  }

  /** Returns the request being handled, or null if there is none. */
  synchronized @Nullable R current() {
    return current;
  }

  /**
   * Records that the caller of the incoming request expects a 100 (Continue) response before it
   * sends the body.
   *
   * @return true if the 100 (Continue) response may be sent now; if false, it is deferred until
   *     {@link #takeDeferredContinue} returns true
   */
  synchronized boolean requestContinue() {
    isContinueDeferred = current != null;
    return current == null;
  }

  /** Returns true once, when a deferred 100 (Continue) response may be sent. */
  synchronized boolean takeDeferredContinue() {
    boolean canContinue = isContinueDeferred && current == null && phase == Phase.ACCEPTING;
    isContinueDeferred &= !canContinue;
    return canContinue;
  }
}
