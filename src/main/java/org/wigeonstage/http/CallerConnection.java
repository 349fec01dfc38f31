package org.wigeonstage.http;

import com.google.common.flogger.FluentLogger;
import java.io.EOFException;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.glassfish.grizzly.CloseReason;
import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.http.ConnectionEnd.Reason;

/**
 * Owns the connection of one caller; no other class closes it. The connection is read continuously,
 * so that its end is detected while a request is being handled. Pipelined requests are queued,
 * because responses are sent in the order of the requests.
 *
 * <p>Thread-safe.
 */
final class CallerConnection {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The interval in seconds between two log lines about errors. */
  private static final int LOG_INTERVAL_SECONDS = 10;

  private static final Attribute<CallerConnection> ATTRIBUTE =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("wigeonstage.callerConnection");

  private static final byte[] CONTINUE =
      "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  /**
   * How long to wait for the caller to close its side of the connection. Closing a socket that has
   * unread bytes resets the connection, which may destroy a response that the caller has not yet
   * read.
   */
  private static final Duration LINGER_TIMEOUT = Duration.ofSeconds(2);

  /** Callers may read the refusal of a body only after they have sent the rest of it. */
  private static final Duration REFUSED_BODY_LINGER_TIMEOUT = Duration.ofSeconds(10);

  private final Connection<?> connection;
  private final TimingSelectorHandler.Acceptance acceptance;
  private final MonotonicClock clock;
  private final ScheduledExecutorService timer;
  private final RequestHandler handler;
  private final BodyMemory.Share bodyMemory;
  private final Runnable unsentExceededAction;
  private final RequestPipeline<ServerExchange> pipeline;
  private final AtomicReference<@Nullable Reason> endReason = new AtomicReference<>();
  private final AtomicReference<@Nullable Throwable> endCause = new AtomicReference<>();
  private volatile @Nullable ServerExchange currentExchange;
  private @Nullable CallerRequest incoming;
  private volatile boolean hasDeliveredAll;

  CallerConnection(
      Connection<?> connection,
      TimingSelectorHandler.Acceptance acceptance,
      MonotonicClock clock,
      ScheduledExecutorService timer,
      BodyMemory.Share bodyMemory,
      Runnable unsentExceededAction,
      RequestHandler handler) {
    this.unsentExceededAction = unsentExceededAction;
    this.connection = connection;
    this.acceptance = acceptance;
    this.clock = clock;
    this.timer = timer;
    this.handler = handler;
    this.bodyMemory = bodyMemory;
    this.pipeline = new RequestPipeline<>(clock.elapsed());
    ATTRIBUTE.set(connection, this);
  }

  /** Returns the owner of a Grizzly connection. */
  static CallerConnection of(Connection<?> connection) {
    return ATTRIBUTE.get(connection);
  }

  Connection<?> connection() {
    return connection;
  }

  TimingSelectorHandler.Acceptance acceptance() {
    return acceptance;
  }

  /** Returns the memory for the bodies of this connection. */
  BodyMemory.Share bodyMemory() {
    return bodyMemory;
  }

  /** Counts a part of a response that is written. */
  void addUnsent(long bytes) {
    bodyMemory.addUnsent(bytes, clock.elapsed());
  }

  /** Releases a part of a response that the operating system has taken. */
  void removeUnsent(long bytes) {
    bodyMemory.removeUnsent(bytes, clock.elapsed());
  }

  /** Makes room for unsent parts if those of all connections together take too much. */
  void checkUnsent() {
    if (bodyMemory.memory().countsAll() && bodyMemory.memory().hasTooMuchUnsent()) {
      unsentExceededAction.run();
    }
  }

  /** Returns the request being read, or null if there is none; call on the selector thread. */
  @Nullable CallerRequest incoming() {
    return incoming;
  }

  void incoming(@Nullable CallerRequest request) {
    incoming = request;
  }

  /** Returns whether requests are accepted; otherwise, data that is read is discarded. */
  boolean isAccepting() {
    return pipeline.isAccepting();
  }

  /** Records that data was read. */
  void recordRead() {
    pipeline.recordRead(clock.elapsed());
  }

  /** Handles a request, after the requests ahead of it. */
  void add(CallerRequest request) {
    ServerExchange exchange = new ServerExchange(this, request);
    switch (pipeline.add(exchange, exchange.body().length)) {
      case HANDLE_NOW -> handle(exchange);
      case QUEUED -> {}
      case QUEUED_LAST -> recordEndReason(Reason.TOO_FAR_AHEAD);
      case NOT_ACCEPTED -> exchange.discard();
    }
  }

  /** Sends the response to a refused request after those ahead of it, then closes. */
  void addRefused(CallerRequest request, Reason reason) {
    recordEndReason(reason);
    add(request);
    drain(reason);
  }

  private void handle(ServerExchange exchange) {
    currentExchange = exchange;
    Optional<CallerRequest.Refusal> refusal = exchange.refusal();
    if (refusal.isPresent()) {
      ProblemDetails.respond(
          exchange, refusal.get().code(), refusal.get().detail(), refusal.get().responseFields());
    } else {
      runGuarded(() -> handler.handle(exchange));
    }
  }

  /** Runs an action; an error in it closes this connection, but does not reach the calling code. */
  void runGuarded(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException | Error e) {
      endAfterError(e);
    }
  }

  /** Closes the connection because of an error in this process. */
  void endAfterError(Throwable cause) {
    ServerExchange open = currentExchange;
    logger.atSevere().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).withCause(cause).log(
        "a caller's connection is closed after an error; current request: %s, unanswered requests:"
            + " %s",
        open == null ? null : open.label(), pipeline.unansweredCount());
    abort(Reason.HANDLING_FAILED, cause);
  }

  /** Handles the next request, or closes, after the current response was delivered completely. */
  void completeCurrent(boolean keepsConnection, boolean callerAskedToClose) {
    if (!keepsConnection) {
      recordAnnouncedEnd(callerAskedToClose);
    }
    ServerExchange completed = currentExchange;
    if (completed != null) {
      bodyMemory.release(completed.reservedBytes());
      bodyMemory.setBuffered(0);
    }
    currentExchange = null;
    ServerExchange next = pipeline.completeCurrent(keepsConnection, clock.elapsed());
    if (next != null) {
      handle(next);
    } else if (pipeline.closeIfDrained()) {
      close();
    } else if (pipeline.takeDeferredContinue()) {
      sendContinue();
    }
  }

  /** Sends 100 (Continue) for the incoming request, after the responses ahead of it. */
  void continueIncoming() {
    if (pipeline.requestContinue()) {
      sendContinue();
    }
  }

  @SuppressWarnings("unchecked") // connections of a TCP transport have socket addresses
  private void sendContinue() {
    ((Connection<SocketAddress>) connection)
        .write(Buffers.wrap(connection.getMemoryManager(), CONTINUE));
  }

  /** Stops accepting requests, and closes the connection after the accepted ones are answered. */
  void drain(Reason reason) {
    recordEndReason(reason);
    pipeline.drain();
    if (pipeline.closeIfDrained()) {
      close();
    }
  }

  /** Closes the connection if there was no activity for longer than a limit. */
  void closeIfIdle(Duration limit) {
    if (pipeline.drainIfIdle(clock.elapsed(), limit)) {
      drain(Reason.IDLE);
    }
  }

  /** Closes the connection abruptly because of an error. */
  void abort(Reason reason, Throwable cause) {
    endCause.compareAndSet(null, cause);
    abort(reason);
  }

  /** Closes the connection abruptly, so that the caller sees a truncated response. */
  void abort(Reason reason) {
    recordEndReason(reason);
    pipeline.abort();
    connection.terminateSilently();
  }

  private void recordAnnouncedEnd(boolean callerAskedToClose) {
    recordEndReason(callerAskedToClose ? Reason.CALLER_ASKED : Reason.ANNOUNCED);
  }

  private void recordEndReason(Reason reason) {
    endReason.compareAndSet(null, reason);
  }

  private void close() {
    hasDeliveredAll = true;
    try {
      ((SocketChannel) ((NIOConnection) connection).getChannel()).shutdownOutput();
      timer.schedule(connection::closeSilently, lingerTimeout().toMillis(), TimeUnit.MILLISECONDS);
    } catch (IOException | RejectedExecutionException e) {
      logger.atFine().withCause(e).log(
          "cannot wait for the caller to close the connection; closing it now");
      connection.closeSilently();
    }
  }

  private Duration lingerTimeout() {
    Reason reason = endReason.get();
    boolean hasRefusedBody = reason == Reason.OVERLOADED || reason == Reason.BODY_TOO_LARGE;
    return hasRefusedBody ? REFUSED_BODY_LINGER_TIMEOUT : LINGER_TIMEOUT;
  }

  /** Returns whether the response to the current request is the last one on the connection. */
  boolean isCurrentLast() {
    return pipeline.isCurrentLast();
  }

  /** Returns whether all responses were delivered and none will follow. */
  boolean hasDeliveredAll() {
    return hasDeliveredAll;
  }

  /**
   * Returns the reason for the end and the unfinished work, as they are if the connection ends now.
   */
  ConnectionEnd currentEnd() {
    // The caller may have received the response, and closed the connection, before the thread that
    // wrote the response has completed the request.
    ServerExchange current = pipeline.current();
    ServerExchange answered = current != null && current.isDelivered() ? current : null;
    ServerExchange exchange = answered == null ? current : null;
    if (answered != null && !answered.keepsConnection()) {
      recordAnnouncedEnd(answered.hasCallerAskedToClose());
    }
    Reason reason = endReason.get();
    return new ConnectionEnd(
        reason == null ? Reason.CALLER_LEFT : reason,
        pipeline.unansweredCount(answered),
        exchange == null ? 0 : exchange.undeliveredBytes(),
        exchange == null ? null : exchange.label(),
        currentEndCause());
  }

  /** Returns the error that ends the connection, or null if there is none. */
  private @Nullable Throwable currentEndCause() {
    Throwable recorded = endCause.get();
    CloseReason closeReason = connection.getCloseReason();
    boolean hasFailed =
        closeReason != null
            && closeReason.getType() == CloseType.REMOTELY
            && !(closeReason.getCause() instanceof EOFException);
    return recorded == null && hasFailed ? closeReason.getCause() : recorded;
  }
}
