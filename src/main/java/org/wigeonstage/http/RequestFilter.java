package org.wigeonstage.http;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
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
 * Puts requests together on the thread that reads, and has them handled on another one.
 *
 * <p>No read is ever suspended: a connection that is not read while its request is handled does not
 * show that the caller has left, and a body that comes in a packet of its own may be missed.
 */
final class RequestFilter extends BaseFilter {

  private final int maxBodyBytes;
  private final MonotonicClock clock;
  private final SelectionRounds rounds;
  private final ScheduledExecutorService timer;
  private final ConnectionListener observer;
  private final RequestHandler handler;
  private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
  private volatile boolean stopping;
  private volatile long accepted;

  RequestFilter(
      int maxBodyBytes,
      MonotonicClock clock,
      SelectionRounds rounds,
      ScheduledExecutorService timer,
      ConnectionListener observer,
      RequestHandler handler) {
    this.maxBodyBytes = maxBodyBytes;
    this.clock = clock;
    this.rounds = rounds;
    this.timer = timer;
    this.observer = observer;
    this.handler = handler;
  }

  @Override
  public NextAction handleAccept(FilterChainContext context) {
    CallerConnection connection =
        new CallerConnection(context.getConnection(), rounds.accepted(), clock, timer, handler);
    connections.add(connection);
    accepted = accepted + 1;
    if (stopping) {
      connection.finish(Reason.STOPPING);
    }
    return context.getInvokeAction();
  }

  @Override
  public NextAction handleClose(FilterChainContext context) {
    CallerConnection connection = CallerConnection.of(context.getConnection());
    if (connection != null && connections.remove(connection)) {
      observer.onClose(connection.end());
    }
    return context.getInvokeAction();
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    HttpContent content = context.getMessage();
    CallerConnection connection = CallerConnection.of(context.getConnection());
    CallerRequest request = connection.incoming();
    if (request == null) {
      request = begin(connection, (HttpRequestPacket) content.getHttpHeader());
    }
    long length = (long) request.bodyLength() + content.getContent().remaining();
    if (length > maxBodyBytes) {
      refuseBody(connection, request);
    } else {
      request.addToBody(CodecParts.bytesOf(content));
      if (content.isLast()) {
        connection.incoming(null);
        connection.add(request);
      }
    }
    content.recycle();
    return context.getStopAction();
  }

  private CallerRequest begin(CallerConnection connection, HttpRequestPacket head) {
    CallerRequest request = new CallerRequest(head, rounds.arrival(connection.acceptance()));
    connection.incoming(request);
    if (head.requiresAcknowledgement()) {
      connection.continueIncoming();
    }
    return request;
  }

  /** Has a request refused without reading the rest, which ends the connection. */
  private void refuseBody(CallerConnection connection, CallerRequest request) {
    request.refuse(ErrorCode.BODY_TOO_LARGE, "the body must not exceed " + maxBodyBytes + " bytes");
    connection.addLast(request, Reason.BODY_TOO_LARGE);
  }

  /** Has a request refused that could not be read, which ends the connection. */
  void refuseUnreadable(CallerConnection connection, HttpRequestPacket head, String detail) {
    Arrival arrival = rounds.arrival(connection.acceptance());
    connection.addLast(CallerRequest.unreadable(head, arrival, detail), Reason.MALFORMED);
  }

  /** Returns whether no connection is left. */
  boolean hasNoConnections() {
    return connections.isEmpty();
  }

  /** Returns whether each connection that is left only waits for its caller to close it, too. */
  boolean isAllDelivered() {
    return connections.stream().allMatch(CallerConnection::isDelivered);
  }

  /** Returns how many connections were accepted so far. */
  long accepted() {
    return accepted;
  }

  /** Returns one of the connections. */
  Optional<Connection<?>> anyConnection() {
    return connections.stream().<Connection<?>>map(CallerConnection::connection).findAny();
  }

  /** Returns what the connections would leave undone if they ended now. */
  InFlightWork inFlightWork() {
    int unanswered = 0;
    int untaken = 0;
    for (CallerConnection connection : connections) {
      ConnectionEnd end = connection.end();
      unanswered += end.unansweredRequests();
      untaken += end.undeliveredBytes() > 0 ? 1 : 0;
    }
    return new InFlightWork(connections.size(), unanswered, untaken);
  }

  /** Has each connection closed after what is open on it, and each further one at once. */
  void finishAll() {
    stopping = true;
    connections.forEach(connection -> connection.finish(Reason.STOPPING));
  }

  /** Closes connections on which nothing came for so long. */
  void finishIdle(Duration limit) {
    connections.forEach(connection -> connection.finishIfIdle(limit));
  }
}
