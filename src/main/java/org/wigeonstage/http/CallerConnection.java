package org.wigeonstage.http;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.MonotonicClock;

/**
 * The requests of one connection. The connection is always read, so that its end is seen; requests
 * that come before the answer to the one ahead wait here, because answers go in order.
 *
 * <p>Safe for use by several threads.
 */
final class CallerConnection {

  private static final Attribute<CallerConnection> ATTRIBUTE =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("wigeonstage.callerConnection");

  /** Callers that send more requests ahead of their answers are cut off; few send any. */
  private static final int MAX_WAITING = 32;

  /** The bodies of requests that wait, in bytes; callers that send more are cut off. */
  private static final int MAX_WAITING_BYTES = 1024 * 1024;

  private final Connection<?> connection;
  private final SelectionRounds.Acceptance acceptance;
  private final MonotonicClock clock;
  private final RequestHandler handler;
  private final Deque<ServerExchange> waiting = new ArrayDeque<>();
  private @Nullable CallerRequest incoming;
  private @Nullable ServerExchange open;
  private Duration idleSince;
  private int waitingBytes;

  CallerConnection(
      Connection<?> connection,
      SelectionRounds.Acceptance acceptance,
      MonotonicClock clock,
      RequestHandler handler) {
    this.connection = connection;
    this.acceptance = acceptance;
    this.clock = clock;
    this.handler = handler;
    this.idleSince = clock.elapsed();
    ATTRIBUTE.set(connection, this);
  }

  /** Returns what was noted on a connection. */
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

  /** Has a request handled, after those ahead of it. */
  void add(ServerExchange exchange) {
    synchronized (this) {
      if (open != null) {
        hold(exchange);
        return;
      }
      open = exchange;
    }
    handler.handle(exchange);
  }

  private void hold(ServerExchange exchange) {
    waiting.addLast(exchange);
    waitingBytes += exchange.body().length;
    if (waiting.size() > MAX_WAITING || waitingBytes > MAX_WAITING_BYTES) {
      waiting.clear();
      connection.closeSilently();
    }
  }

  /** Has the next request handled after the answer to the open one. */
  void answered() {
    ServerExchange next;
    synchronized (this) {
      next = waiting.pollFirst();
      waitingBytes -= next == null ? waitingBytes : next.body().length;
      open = next;
      idleSince = clock.elapsed();
    }
    if (next != null) {
      handler.handle(next);
    }
  }

  synchronized boolean hasOpenRequest() {
    return open != null;
  }

  /** Returns whether nothing was asked for so long. */
  synchronized boolean isIdleFor(Duration limit) {
    return open == null && clock.elapsed().minus(idleSince).compareTo(limit) > 0;
  }
}
