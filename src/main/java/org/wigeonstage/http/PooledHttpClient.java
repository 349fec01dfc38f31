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
import org.wigeonstage.http.ServerConnectionEnd.Reason;
import org.wigeonstage.request.HeaderFields;

/**
 * HTTP client that keeps idle connections and reuses them for further calls to the same server.
 *
 * <p>A server may close an idle connection just as a call is sent on it. Each call therefore limits
 * how long a reused connection may have been idle; calls that must not run twice set a short limit.
 */
public final class PooledHttpClient implements Closeable {

  /**
   * Idle timeout for servers that don't announce one; servers close idle connections after a few
   * seconds.
   */
  private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(4);

  /**
   * Maximum number of idle connections to one server: the number of slots (concurrent requests) of
   * one backend server.
   */
  private static final int MAX_IDLE_PER_SERVER = 16;

  private final ClientTransport transport;
  private final MonotonicClock clock;
  private final Map<Endpoint, Deque<IdleConnection>> idleConnections = new ConcurrentHashMap<>();
  private final AtomicLong connectAttempts = new AtomicLong();

  /**
   * A connection without a call.
   *
   * @param connection the connection
   * @param idleSince when its last call completed
   * @param idleTimeout how long it may be idle before it is closed
   */
  private record IdleConnection(
      Connection<?> connection, Duration idleSince, Duration idleTimeout) {}

  private PooledHttpClient(ClientTransport transport, MonotonicClock clock) {
    this.transport = transport;
    this.clock = clock;
  }

  /**
   * Starts a client.
   *
   * @param name the prefix of the names of its threads
   * @param threads the number of its threads
   * @param clock the clock that measures how long connections are idle
   * @return the running client
   */
  public static PooledHttpClient start(String name, int threads, MonotonicClock clock) {
    return start(name, threads, clock, ServerConnectionListener.NONE);
  }

  /**
   * Starts a client with a connection listener.
   *
   * @param name the prefix of the names of its threads
   * @param threads the number of its threads
   * @param clock the clock that measures how long connections are idle
   * @param listener notified when connections close
   * @return the running client
   */
  public static PooledHttpClient start(
      String name, int threads, MonotonicClock clock, ServerConnectionListener listener) {
    return new PooledHttpClient(ClientTransport.start(name, threads, listener), clock);
  }

  /**
   * Sends a call without waiting for the response. If this throws, nothing was sent.
   *
   * @param server the address of the server
   * @param call the call to send
   * @param maxIdle the longest time that a reused connection may have been idle, or zero to reuse
   *     none; if there is no such connection, or only ones past their idle timeout, the call opens
   *     a new connection
   * @param listener receives the response, on the client's threads
   * @return the exchange, through which the call can be paused or aborted
   */
  public ClientExchange send(
      Endpoint server, OutboundCall call, Duration maxIdle, ResponseListener listener) {
    HttpPacket packet = packetOf(call);
    KeepAliveListener keepAliveListener = new KeepAliveListener(listener);
    ClientExchange exchange =
        new ClientExchange(
            keepAliveListener,
            clock,
            (connection, isReusable) ->
                release(server, connection, isReusable, keepAliveListener.idleTimeout()));
    try {
      connect(server, exchange, packet, maxIdle);
    } catch (RuntimeException | Error e) {
      exchange.sendFailed(e);
    }
    return exchange;
  }

  private void connect(
      Endpoint server, ClientExchange exchange, HttpPacket packet, Duration maxIdle) {
    IdleConnection reused = acquireIdle(server, maxIdle);
    if (reused != null) {
      exchange.markConnectionReused();
      exchange.onLostBeforeResponse(() -> closeIdleSince(server, reused.idleSince()));
      exchange.connected(reused.connection(), packet);
    } else {
      connectAttempts.incrementAndGet();
      transport.connect(server, exchange, packet);
    }
  }

  /**
   * Returns the number of attempts to open a connection since the start.
   *
   * @return the number, including failed attempts
   */
  public long connectAttempts() {
    return connectAttempts.get();
  }

  /**
   * Closes the idle connections to a server.
   *
   * @param server the address of the server
   */
  public void closeIdle(Endpoint server) {
    Deque<IdleConnection> connections = idleConnections.remove(server);
    if (connections != null) {
      synchronized (connections) {
        connections.forEach(
            idle -> ServerConnection.close(idle.connection(), Reason.SERVER_UNREACHABLE));
      }
    }
  }

  /**
   * Closes the connections to a server that have been idle at least as long as a connection that
   * was lost when it was reused. The server drops idle connections without notice, so these are
   * lost, too.
   */
  private void closeIdleSince(Endpoint server, Duration idleSince) {
    Deque<IdleConnection> connections = idleConnections.get(server);
    if (connections == null) {
      return;
    }
    synchronized (connections) {
      connections.removeIf(
          idle -> {
            boolean isAsOld = idle.idleSince().compareTo(idleSince) <= 0;
            if (isAsOld) {
              ServerConnection.close(idle.connection(), Reason.STALE);
            }
            return isAsOld;
          });
    }
  }

  /** Closes the connections that have exceeded their idle timeout. */
  public void closeExpired() {
    Duration now = clock.elapsed();
    idleConnections
        .values()
        .forEach(
            connections -> {
              synchronized (connections) {
                connections.removeIf(idle -> closeIfExpired(idle, now));
              }
            });
  }

  /** Closes a connection past its idle timeout; returns whether it is closed. */
  private static boolean closeIfExpired(IdleConnection idle, Duration now) {
    boolean isExpired =
        !idle.connection().isOpen()
            || now.minus(idle.idleSince()).compareTo(idle.idleTimeout()) > 0;
    if (isExpired) {
      ServerConnection.close(idle.connection(), Reason.IDLE);
    }
    return isExpired;
  }

  private @Nullable IdleConnection acquireIdle(Endpoint server, Duration maxIdle) {
    Deque<IdleConnection> connections = idleConnections.get(server);
    if (connections == null || maxIdle.isZero()) {
      return null;
    }
    Duration now = clock.elapsed();
    synchronized (connections) {
      Iterator<IdleConnection> newestFirst = connections.descendingIterator();
      while (newestFirst.hasNext()) {
        IdleConnection idle = newestFirst.next();
        if (now.minus(idle.idleSince()).compareTo(maxIdle) > 0) {
          return null;
        }
        newestFirst.remove();
        if (!closeIfExpired(idle, now)) {
          return idle;
        }
      }
    }
    return null;
  }

  private void release(
      Endpoint server, Connection<?> connection, boolean isReusable, Duration idleTimeout) {
    if (!isReusable || !connection.isOpen() || idleTimeout.isZero()) {
      ServerConnection.close(connection, Reason.NOT_REUSABLE);
      return;
    }
    Deque<IdleConnection> connections =
        idleConnections.computeIfAbsent(server, key -> new ArrayDeque<>());
    synchronized (connections) {
      connections.addLast(new IdleConnection(connection, clock.elapsed(), idleTimeout));
      if (connections.size() > MAX_IDLE_PER_SERVER) {
        ServerConnection.close(connections.removeFirst().connection(), Reason.TOO_MANY_IDLE);
      }
    }
  }

  /**
   * Runs an action once all data that has already arrived is processed; with more than one thread,
   * this covers only the connections of one thread. Before the first connection is established, the
   * action runs at once.
   *
   * @param action the action, run on a selector thread or, if at once, on the current thread; must
   *     not block
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
    HttpRequestPacket packet = builder.build();
    for (HeaderFields.Field field : call.fields().fields()) {
      FieldValues.add(packet, field.name(), field.value());
    }
    return ClientTransport.packetOf(packet, call.body());
  }

  @Override
  public void close() throws IOException {
    transport.close();
  }

  /** Reads the idle timeout from the {@code Keep-Alive} field and delegates to a listener. */
  private static final class KeepAliveListener implements ResponseListener {

    /** How long before the idle timeout announced by the server a connection is closed. */
    private static final Duration IDLE_TIMEOUT_MARGIN = Duration.ofMillis(700);

    private final ResponseListener delegate;
    private volatile Duration idleTimeout = DEFAULT_IDLE_TIMEOUT;

    KeepAliveListener(ResponseListener delegate) {
      this.delegate = delegate;
    }

    Duration idleTimeout() {
      return idleTimeout;
    }

    @Override
    public void onHead(ResponseHead head) {
      head.fields().first("Keep-Alive").ifPresent(value -> idleTimeout = idleTimeoutOf(value));
      delegate.onHead(head);
    }

    private static Duration idleTimeoutOf(String keepAlive) {
      for (String parameter : keepAlive.split(",", -1)) {
        String[] nameAndValue = parameter.trim().split("=", 2);
        if (nameAndValue.length == 2 && nameAndValue[0].trim().equalsIgnoreCase("timeout")) {
          return parseTimeout(nameAndValue[1].trim());
        }
      }
      return DEFAULT_IDLE_TIMEOUT;
    }

    /** Returns zero, so that the connection is not kept, if the value is malformed or too short. */
    private static Duration parseTimeout(String seconds) {
      if (!seconds.matches("[0-9]{1,6}")) {
        return Duration.ZERO;
      }
      Duration timeout = Duration.ofSeconds(Long.parseLong(seconds)).minus(IDLE_TIMEOUT_MARGIN);
      return timeout.isNegative() ? Duration.ZERO : timeout;
    }

    @Override
    public void onStart(int status, @Nullable String contentType) {
      throw new IllegalStateException(
          "onStart must not be called; onHead passes the complete head to the delegate");
    }

    @Override
    public void onData(byte[] data) {
      delegate.onData(data);
    }

    @Override
    public void onComplete() {
      delegate.onComplete();
    }

    @Override
    public void onConnectFailure(Throwable cause) {
      delegate.onConnectFailure(cause);
    }

    @Override
    public void onFailure(Throwable cause) {
      delegate.onFailure(cause);
    }
  }
}
