package org.wigeonstage.http;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.http.ConnectionEnd.Reason;

/**
 * The owner of one caller's connection, and the only one that closes it. The connection is always
 * read, so that its end is seen; requests that come before the answer to the one ahead wait,
 * because answers go in order.
 *
 * <p>Safe for use by several threads.
 */
final class CallerConnection {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final Attribute<CallerConnection> ATTRIBUTE =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("wigeonstage.callerConnection");

  private static final byte[] CONTINUE =
      "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  /**
   * How long the caller may take to close its side. A connection that closes with unread bytes is
   * reset, which may destroy an answer that the caller has not read yet.
   */
  private static final Duration LINGER = Duration.ofSeconds(2);

  private final Connection<?> connection;
  private final SelectionRounds.Acceptance acceptance;
  private final MonotonicClock clock;
  private final ScheduledExecutorService timer;
  private final RequestHandler handler;
  private final RequestSequence<ServerExchange> requests;
  private final AtomicReference<@Nullable Reason> endReason = new AtomicReference<>();
  private volatile @Nullable ServerExchange answering;
  private @Nullable CallerRequest incoming;
  private volatile boolean delivered;

  CallerConnection(
      Connection<?> connection,
      SelectionRounds.Acceptance acceptance,
      MonotonicClock clock,
      ScheduledExecutorService timer,
      RequestHandler handler) {
    this.connection = connection;
    this.acceptance = acceptance;
    this.clock = clock;
    this.timer = timer;
    this.handler = handler;
    this.requests = new RequestSequence<>(clock.elapsed());
    ATTRIBUTE.set(connection, this);
  }

  /** Returns the owner of a connection. */
  static CallerConnection of(Connection<?> connection) {
    return ATTRIBUTE.get(connection);
  }

  Connection<?> connection() {
    return connection;
  }

  SelectionRounds.Acceptance acceptance() {
    return acceptance;
  }

  /** Returns the request that is being read, or null between requests; on the reading thread. */
  @Nullable CallerRequest incoming() {
    return incoming;
  }

  void incoming(@Nullable CallerRequest request) {
    incoming = request;
  }

  /** Returns whether what is read belongs to a request; otherwise it is discarded. */
  boolean isTaking() {
    return requests.isTaking();
  }

  /** Notes that bytes were read. */
  void bytesRead() {
    requests.read(clock.elapsed());
  }

  /** Has a request handled, after those ahead of it. */
  void add(CallerRequest request) {
    ServerExchange exchange = new ServerExchange(this, request);
    switch (requests.add(exchange, exchange.body().length)) {
      case NOW -> handle(exchange);
      case LATER -> {}
      case LATER_AND_LAST -> noteEnd(Reason.TOO_FAR_AHEAD);
      case NEVER -> exchange.discard();
    }
  }

  /** Answers a request in its turn with a refusal, and closes after that. */
  void addLast(CallerRequest refused, Reason reason) {
    noteEnd(reason);
    add(refused);
    finish(reason);
  }

  private void handle(ServerExchange exchange) {
    answering = exchange;
    Optional<CallerRequest.Refusal> refusal = exchange.refusal();
    if (refusal.isPresent()) {
      ProblemDetails.respond(
          exchange,
          refusal.get().code(),
          refusal.get().detail(),
          Map.of("Connection", "close", "Wigeonstage-Outcome", "not-run"));
    } else {
      handler.handle(exchange);
    }
  }

  /** Goes on after the caller has taken the whole answer to the open request. */
  void answered(boolean keepsConnection, boolean callerAsked) {
    if (!keepsConnection) {
      noteEnd(callerAsked ? Reason.CALLER_ASKED : Reason.ANNOUNCED);
    }
    answering = null;
    ServerExchange next = requests.answered(keepsConnection, clock.elapsed());
    if (next != null) {
      handle(next);
    } else if (requests.closesNow()) {
      close();
    } else if (requests.takeContinue()) {
      sendContinue();
    }
  }

  /** Tells the caller to send the body that it holds back, after the answers ahead of it. */
  void continueIncoming() {
    if (requests.wantContinue()) {
      sendContinue();
    }
  }

  @SuppressWarnings("unchecked") // connections of a TCP transport have socket addresses
  private void sendContinue() {
    ((Connection<SocketAddress>) connection)
        .write(Buffers.wrap(connection.getMemoryManager(), CONTINUE));
  }

  /** Takes no further request, and closes the connection after what is open on it. */
  void finish(Reason reason) {
    noteEnd(reason);
    requests.finish();
    if (requests.closesNow()) {
      close();
    }
  }

  /** Closes the connection if nothing came on it for so long. */
  void finishIfIdle(Duration limit) {
    if (requests.finishIfIdle(clock.elapsed(), limit)) {
      finish(Reason.IDLE);
    }
  }

  /** Ends the connection at once, so that the caller sees that its answer was broken off. */
  void cutOff(Reason reason) {
    noteEnd(reason);
    requests.cutOff();
    connection.terminateSilently();
  }

  private void noteEnd(Reason reason) {
    endReason.compareAndSet(null, reason);
  }

  private void close() {
    delivered = true;
    try {
      ((SocketChannel) ((NIOConnection) connection).getChannel()).shutdownOutput();
      timer.schedule(connection::closeSilently, LINGER.toMillis(), TimeUnit.MILLISECONDS);
    } catch (IOException | RejectedExecutionException e) {
      logger.atFine().withCause(e).log("the connection is closed already");
      connection.closeSilently();
    }
  }

  /** Returns whether the answer to the open request is the last one on the connection. */
  boolean endsAfterThis() {
    return requests.isLast();
  }

  /** Returns whether all answers were handed to the operating system and none will follow. */
  boolean isDelivered() {
    return delivered;
  }

  /** Returns what the connection leaves undone if it ends now. */
  ConnectionEnd end() {
    Reason reason = endReason.get();
    ServerExchange exchange = answering;
    return new ConnectionEnd(
        reason == null ? Reason.CALLER_LEFT : reason,
        requests.unanswered(),
        exchange == null ? 0 : exchange.undeliveredBytes());
  }
}
