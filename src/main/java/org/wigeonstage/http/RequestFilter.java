package org.wigeonstage.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.memory.Buffers;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.MonotonicClock;

/**
 * Puts requests together on the thread that reads, and has them handled on another one.
 *
 * <p>No read is ever suspended: a connection that is not read while its request is handled does not
 * show that the caller has left, and a body that comes in a packet of its own may be missed.
 */
final class RequestFilter extends BaseFilter {

  private static final byte[] CONTINUE =
      "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private final int maxBodyBytes;
  private final MonotonicClock clock;
  private final SelectionRounds rounds;
  private final RequestHandler handler;
  private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();

  RequestFilter(
      int maxBodyBytes, MonotonicClock clock, SelectionRounds rounds, RequestHandler handler) {
    this.maxBodyBytes = maxBodyBytes;
    this.clock = clock;
    this.rounds = rounds;
    this.handler = handler;
  }

  @Override
  public NextAction handleAccept(FilterChainContext context) {
    connections.add(
        new CallerConnection(context.getConnection(), rounds.accepted(), clock, handler));
    return context.getInvokeAction();
  }

  @Override
  public NextAction handleClose(FilterChainContext context) {
    CallerConnection connection = CallerConnection.of(context.getConnection());
    if (connection != null) {
      connections.remove(connection);
    }
    return context.getInvokeAction();
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    HttpContent content = context.getMessage();
    CallerConnection connection = CallerConnection.of(context.getConnection());
    CallerRequest request = connection.incoming();
    if (request == null) {
      request = begin(context, connection, (HttpRequestPacket) content.getHttpHeader());
    }
    long length = (long) request.bodyLength() + content.getContent().remaining();
    boolean isTooLarge = length > maxBodyBytes;
    if (!isTooLarge) {
      request.addToBody(CodecParts.bytesOf(content));
    }
    boolean isLast = content.isLast();
    content.recycle();
    if (isTooLarge) {
      refuseBody(connection, request);
    } else if (isLast) {
      connection.incoming(null);
      connection.add(new ServerExchange(connection, request));
    }
    return context.getStopAction();
  }

  private CallerRequest begin(
      FilterChainContext context, CallerConnection connection, HttpRequestPacket head) {
    CallerRequest request = new CallerRequest(head, rounds.arrival(connection.acceptance()));
    connection.incoming(request);
    if (head.requiresAcknowledgement()) {
      context.write(Buffers.wrap(context.getMemoryManager(), CONTINUE));
    }
    return request;
  }

  /** Answers without reading the rest, which ends the connection. */
  private void refuseBody(CallerConnection connection, CallerRequest request) {
    if (request.isRefused()) {
      return;
    }
    request.refuse();
    Problem.respond(
        new ServerExchange(connection, request),
        ErrorCode.BODY_TOO_LARGE,
        "the body must not exceed " + maxBodyBytes + " bytes",
        Map.of("Connection", "close", "Wigeonstage-Outcome", "not-run"));
  }

  /** Returns whether a request waits for its answer. */
  boolean hasOpenRequests() {
    return connections.stream().anyMatch(CallerConnection::hasOpenRequest);
  }

  /** Closes connections on which nothing was asked for so long. */
  void closeIdle(Duration limit) {
    connections.stream()
        .filter(connection -> connection.isIdleFor(limit))
        .map(CallerConnection::connection)
        .forEach(Connection::closeSilently);
  }
}
