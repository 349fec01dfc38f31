package org.wigeonstage.http;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.http.ConnectionEnd.Reason;

/**
 * Assembles requests on the selector thread and passes them to a handler that runs on other
 * threads.
 *
 * <p>Reading is never suspended. If a connection were not read while its request is handled, the
 * caller's disconnect would go unnoticed, and a body that arrives in a separate packet could be
 * missed.
 */
final class RequestFilter extends BaseFilter {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The interval in seconds between two log lines about errors. */
  private static final int LOG_INTERVAL_SECONDS = 10;

  private final int maxBodyBytes;
  private final MonotonicClock clock;
  private final TimingSelectorHandler selectorHandler;
  private final ScheduledExecutorService timer;
  private final ConnectionListener listener;
  private final RequestHandler handler;
  private final BodyMemory bodyMemory;
  private final AtomicBoolean isEndingUnread = new AtomicBoolean();
  private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
  private volatile boolean isDraining;
  private volatile long acceptedCount;

  RequestFilter(
      int maxBodyBytes,
      MonotonicClock clock,
      TimingSelectorHandler selectorHandler,
      ScheduledExecutorService timer,
      ConnectionListener listener,
      BodyMemory bodyMemory,
      RequestHandler handler) {
    this.bodyMemory = bodyMemory;
    this.maxBodyBytes = maxBodyBytes;
    this.clock = clock;
    this.selectorHandler = selectorHandler;
    this.timer = timer;
    this.listener = listener;
    this.handler = handler;
  }

  @Override
  public NextAction handleAccept(FilterChainContext context) {
    CallerConnection connection =
        new CallerConnection(
            context.getConnection(),
            selectorHandler.acceptance(),
            clock,
            timer,
            bodyMemory.new Share(),
            this::endUnreadSoon,
            handler);
    connections.add(connection);
    acceptedCount = acceptedCount + 1;
    if (isDraining) {
      connection.drain(Reason.STOPPING);
    }
    return context.getInvokeAction();
  }

  @Override
  public NextAction handleClose(FilterChainContext context) {
    CallerConnection connection = CallerConnection.of(context.getConnection());
    if (connection != null && connections.remove(connection)) {
      connection.bodyMemory().close();
      listener.onClose(connection.currentEnd());
    }
    return context.getInvokeAction();
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    HttpContent content = context.getMessage();
    CallerConnection connection = CallerConnection.of(context.getConnection());
    CallerRequest request = connection.incoming();
    if (request == null) {
      request = startRequest(connection, (HttpRequestPacket) content.getHttpHeader());
    }
    long bodyBytes = (long) request.bodyBytes() + content.getContent().remaining();
    long expectedBytes = Math.max(bodyBytes, content.getHttpHeader().getContentLength());
    if (bodyBytes > maxBodyBytes) {
      refuseTooLarge(connection, request);
    } else if (!tryReserve(request, Math.min(expectedBytes, maxBodyBytes), connection)) {
      refuseForMemory(connection, request);
    } else {
      request.appendBody(PacketCopies.copyBytes(content));
      if (content.isLast()) {
        connection.incoming(null);
        connection.add(request);
      }
    }
    content.recycle();
    return context.getStopAction();
  }

  /** Reserves memory for a body; an error while this is decided refuses only this request. */
  private static boolean tryReserve(
      CallerRequest request, long bodyLength, CallerConnection connection) {
    try {
      return request.tryReserve(bodyLength, connection.bodyMemory());
    } catch (RuntimeException e) {
      logger.atSevere().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).withCause(e).log(
          "a request is refused because its share of the memory could not be determined");
      return false;
    }
  }

  /** Ends unread connections on the timer thread, because the calling thread may hold locks. */
  private void endUnreadSoon() {
    if (isEndingUnread.compareAndSet(false, true)) {
      try {
        timer.execute(this::endUnread);
      } catch (RejectedExecutionException e) {
        logger.atFine().withCause(e).log("the server has stopped");
      }
    }
  }

  /** Ends the connections that were not read from for the longest time, until others have room. */
  private void endUnread() {
    isEndingUnread.set(false);
    while (bodyMemory.hasTooMuchUnsent()) {
      Optional<CallerConnection> unread =
          connections.stream()
              .filter(connection -> connection.bodyMemory().unsentBytes() > 0)
              .min(Comparator.comparing(connection -> connection.bodyMemory().lastTakenAt()));
      if (unread.isEmpty()) {
        return;
      }
      unread.get().bodyMemory().close();
      unread.get().abort(Reason.UNREAD);
    }
  }

  private CallerRequest startRequest(CallerConnection connection, HttpRequestPacket head) {
    CallerRequest request =
        new CallerRequest(head, selectorHandler.arrival(connection.acceptance()));
    connection.incoming(request);
    if (head.requiresAcknowledgement()) {
      connection.continueIncoming();
    }
    return request;
  }

  /** Refuses a request without reading the rest of its body, and closes the connection. */
  private void refuseTooLarge(CallerConnection connection, CallerRequest request) {
    request.refuse(ErrorCode.BODY_TOO_LARGE, "the body must not exceed " + maxBodyBytes + " bytes");
    connection.addRefused(request, Reason.BODY_TOO_LARGE);
  }

  /** Refuses a request without reading the rest of its body, and closes the connection. */
  private void refuseForMemory(CallerConnection connection, CallerRequest request) {
    request.refuse(ErrorCode.OVERLOADED, "too many large request bodies are being handled");
    connection.addRefused(request, Reason.OVERLOADED);
  }

  /** Returns the memory that is reserved for the bodies of requests. */
  long reservedBodyBytes() {
    return bodyMemory.reservedBytes();
  }

  /** Returns the memory that is held for responses. */
  long responseBytes() {
    return bodyMemory.responseBytes();
  }

  /** Refuses a request that violates the HTTP protocol, and closes the connection. */
  void refuseMalformed(CallerConnection connection, HttpRequestPacket head, String detail) {
    Arrival arrival = selectorHandler.arrival(connection.acceptance());
    connection.addRefused(CallerRequest.malformed(head, arrival, detail), Reason.MALFORMED);
  }

  /** Returns whether no connections are open. */
  boolean hasNoConnections() {
    return connections.isEmpty();
  }

  /**
   * Returns whether all open connections have delivered their responses and only wait for their
   * callers to close them.
   */
  boolean hasDeliveredAll() {
    return connections.stream().allMatch(CallerConnection::hasDeliveredAll);
  }

  /** Returns the number of connections accepted since the start. */
  long acceptedCount() {
    return acceptedCount;
  }

  /** Returns any open connection. */
  Optional<Connection<?>> anyConnection() {
    return connections.stream().<Connection<?>>map(CallerConnection::connection).findAny();
  }

  /** Returns the open connections and their unfinished requests. */
  InFlightWork inFlightWork() {
    int unansweredRequests = 0;
    int undeliveredResponses = 0;
    for (CallerConnection connection : connections) {
      ConnectionEnd end = connection.currentEnd();
      unansweredRequests += end.unansweredRequests();
      undeliveredResponses += end.undeliveredBytes() > 0 ? 1 : 0;
    }
    return new InFlightWork(connections.size(), unansweredRequests, undeliveredResponses);
  }

  /** Closes each connection after its accepted requests are answered, and new ones at once. */
  void drainAll() {
    isDraining = true;
    connections.forEach(connection -> connection.drain(Reason.STOPPING));
  }

  /** Closes the connections that had no activity for longer than a limit. */
  void closeIdle(Duration limit) {
    connections.forEach(connection -> connection.closeIfIdle(limit));
  }
}
