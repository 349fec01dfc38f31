package org.wigeonstage.http;

import java.io.Closeable;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.HttpPacket;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.request.HeaderFields;

/**
 * Makes HTTP calls on connections that are kept for further calls to the same server.
 *
 * <p>A kept connection may be closed by its server just as a call is sent on it. Calls that must
 * not be made twice therefore tell how long a connection may have been idle for them.
 */
public final class PooledHttpClient implements Closeable {

  /** How long a connection is kept where the server does not tell; servers close after seconds. */
  private static final Duration DEFAULT_IDLE_LIMIT = Duration.ofSeconds(4);

  /** The most connections kept to one server: the slots of one engine. */
  private static final int MAX_IDLE_PER_SERVER = 16;

  private final ClientTransport transport;
  private final MonotonicClock clock;
  private final Map<Endpoint, Deque<IdleConnection>> idle = new ConcurrentHashMap<>();
  private final AtomicLong connectAttempts = new AtomicLong();

  /** A connection without a call, and since when. */
  private record IdleConnection(Connection<?> connection, Duration since, Duration limit) {}

  private PooledHttpClient(ClientTransport transport, MonotonicClock clock) {
    this.transport = transport;
    this.clock = clock;
  }

  /**
   * Starts a client.
   *
   * @param name the prefix of the names of its threads
   * @param threads the number of its threads
   * @param clock measures how long connections are idle
   * @return the client
   */
  public static PooledHttpClient start(String name, int threads, MonotonicClock clock) {
    return new PooledHttpClient(ClientTransport.start(name, threads), clock);
  }

  /**
   * Makes a call.
   *
   * @param server where to
   * @param call what to send
   * @param maxIdle how long a kept connection may have been idle for this call; within that and the
   *     server's own limit it is used
   * @param listener what follows the answer; called on the client's threads
   * @return the call, to pause or abort it
   */
  public ClientExchange send(
      Endpoint server, OutboundCall call, Duration maxIdle, ResponseListener listener) {
    IdleLimit idleLimit = new IdleLimit(listener);
    ClientExchange exchange =
        new ClientExchange(
            idleLimit,
            clock,
            (connection, reusable) -> release(server, connection, reusable, idleLimit.limit()));
    HttpPacket packet = packetOf(call);
    IdleConnection kept = take(server, maxIdle);
    if (kept != null) {
      exchange.onLostUnanswered(() -> forgetIdleSince(server, kept.since()));
      exchange.connected(kept.connection(), packet);
    } else {
      connectAttempts.incrementAndGet();
      transport.connect(server, exchange, packet);
    }
    return exchange;
  }

  /**
   * Returns how many new connections were started.
   *
   * @return the number
   */
  public long connectAttempts() {
    return connectAttempts.get();
  }

  /**
   * Closes the idle connections to a server.
   *
   * @param server the server
   */
  public void closeIdle(Endpoint server) {
    Deque<IdleConnection> connections = idle.remove(server);
    if (connections != null) {
      synchronized (connections) {
        connections.forEach(entry -> entry.connection().closeSilently());
      }
    }
  }

  /**
   * Closes the connections to a server that have been idle for at least as long as one that was
   * lost as it was used. The server drops idle connections without notice, so they are lost, too.
   */
  private void forgetIdleSince(Endpoint server, Duration since) {
    Deque<IdleConnection> connections = idle.get(server);
    if (connections == null) {
      return;
    }
    synchronized (connections) {
      connections.removeIf(
          entry -> {
            boolean isAsOld = entry.since().compareTo(since) <= 0;
            if (isAsOld) {
              entry.connection().closeSilently();
            }
            return isAsOld;
          });
    }
  }

  /** Closes connections that were idle for too long. */
  public void closeExpired() {
    Duration now = clock.elapsed();
    idle.values()
        .forEach(
            connections -> {
              synchronized (connections) {
                connections.removeIf(entry -> isExpired(entry, now));
              }
            });
  }

  private static boolean isExpired(IdleConnection entry, Duration now) {
    boolean expired =
        !entry.connection().isOpen() || now.minus(entry.since()).compareTo(entry.limit()) > 0;
    if (expired) {
      entry.connection().closeSilently();
    }
    return expired;
  }

  private @Nullable IdleConnection take(Endpoint server, Duration maxIdle) {
    Deque<IdleConnection> connections = idle.get(server);
    if (connections == null) {
      return null;
    }
    Duration now = clock.elapsed();
    synchronized (connections) {
      Iterator<IdleConnection> newestFirst = connections.descendingIterator();
      while (newestFirst.hasNext()) {
        IdleConnection entry = newestFirst.next();
        if (now.minus(entry.since()).compareTo(maxIdle) > 0) {
          return null;
        }
        newestFirst.remove();
        if (!isExpired(entry, now)) {
          return entry;
        }
      }
    }
    return null;
  }

  private void release(
      Endpoint server, Connection<?> connection, boolean reusable, Duration limit) {
    if (!reusable || !connection.isOpen() || limit.isZero()) {
      connection.closeSilently();
      return;
    }
    Deque<IdleConnection> connections = idle.computeIfAbsent(server, key -> new ArrayDeque<>());
    synchronized (connections) {
      connections.addLast(new IdleConnection(connection, clock.elapsed(), limit));
      if (connections.size() > MAX_IDLE_PER_SERVER) {
        connections.removeFirst().connection().closeSilently();
      }
    }
  }

  /**
   * Runs an action once all is handled that has arrived by now. Before the first connection there
   * is nothing to wait for.
   *
   * @param action what to run, on a thread that reads; must not block
   */
  public void afterPendingReads(Runnable action) {
    transport.afterPendingReads(action);
  }

  private static HttpPacket packetOf(OutboundCall call) {
    HttpRequestPacket.Builder builder =
        HttpRequestPacket.builder()
            .method(call.method())
            .uri(call.target())
            .protocol("HTTP/1.1")
            .host(call.host());
    if (call.body().length > 0 || !call.method().equals("GET")) {
      builder.contentLength(call.body().length);
    }
    for (HeaderFields.Field field : call.fields().fields()) {
      builder.header(field.name(), field.value());
    }
    return ClientTransport.packetOf(builder.build(), call.body());
  }

  @Override
  public void close() throws IOException {
    transport.close();
  }

  /** Passes an answer on, and reads from it how long its connection may be kept. */
  private static final class IdleLimit implements ResponseListener {

    /** Connections are given up this long before the server's own limit. */
    private static final Duration MARGIN = Duration.ofMillis(700);

    private final ResponseListener target;
    private volatile Duration limit = DEFAULT_IDLE_LIMIT;

    IdleLimit(ResponseListener target) {
      this.target = target;
    }

    Duration limit() {
      return limit;
    }

    @Override
    public void onHead(ResponseHead head) {
      head.fields().first("Keep-Alive").ifPresent(value -> limit = limitOf(value));
      target.onHead(head);
    }

    private static Duration limitOf(String keepAlive) {
      for (String parameter : keepAlive.split(",", -1)) {
        String[] parts = parameter.trim().split("=", 2);
        if (parts.length == 2 && parts[0].trim().equalsIgnoreCase("timeout")) {
          return parseLimit(parts[1].trim());
        }
      }
      return DEFAULT_IDLE_LIMIT;
    }

    private static Duration parseLimit(String seconds) {
      if (!seconds.matches("[0-9]{1,6}")) {
        return Duration.ZERO;
      }
      Duration limit = Duration.ofSeconds(Long.parseLong(seconds)).minus(MARGIN);
      return limit.isNegative() ? Duration.ZERO : limit;
    }

    @Override
    public void onStart(int status, @Nullable String contentType) {
      throw new IllegalStateException("only whole heads are passed on");
    }

    @Override
    public void onData(byte[] data) {
      target.onData(data);
    }

    @Override
    public void onComplete() {
      target.onComplete();
    }

    @Override
    public void onConnectFailure(Throwable cause) {
      target.onConnectFailure(cause);
    }

    @Override
    public void onFailure(Throwable cause) {
      target.onFailure(cause);
    }
  }
}
