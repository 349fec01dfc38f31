package org.wigeonstage.http;

import com.google.common.collect.Comparators;
import com.google.common.flogger.FluentLogger;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.Selector;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;
import org.wigeonstage.common.ControlExecutors;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.common.Polling;
import org.wigeonstage.common.RepeatedTask;
import org.wigeonstage.common.WigeonstageException;

/** An HTTP server that passes all requests to a single handler. */
public final class HttpServer implements Closeable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** One thread, so that a connection's acceptance, requests and end are processed in order. */
  private static final int SELECTOR_THREADS = 1;

  /** Idle connections may exceed the idle timeout by up to this interval. */
  private static final Duration IDLE_CHECK_INTERVAL = Duration.ofSeconds(1);

  /**
   * How long a drain waits for callers to close their connections. This takes a few round trips
   * after the server has closed its side.
   */
  private static final Duration CALLER_CLOSE_TIMEOUT = Duration.ofMillis(100);

  /** The selector thread stops after its current selection cycle, which takes milliseconds. */
  private static final Duration SELECTOR_STOP_TIMEOUT = Duration.ofSeconds(1);

  /** Minimum time that a drain allows to accept connections and to read data already received. */
  private static final Duration MIN_FINAL_READ_TIME = Duration.ofMillis(100);

  private final TCPNIOTransport transport;
  private final TCPNIOServerConnection serverConnection;
  private final RequestFilter requestFilter;
  private final Endpoint endpoint;
  private final MonotonicClock clock;
  private final ScheduledExecutorService timer;

  private HttpServer(
      TCPNIOTransport transport,
      TCPNIOServerConnection serverConnection,
      RequestFilter requestFilter,
      Endpoint endpoint,
      ScheduledExecutorService timer,
      MonotonicClock clock,
      ServerOptions options) {
    this.transport = transport;
    this.serverConnection = serverConnection;
    this.requestFilter = requestFilter;
    this.endpoint = endpoint;
    this.timer = timer;
    this.clock = clock;
    RepeatedTask.startWithFixedDelay(
        timer,
        "check of idle connections",
        IDLE_CHECK_INTERVAL,
        IDLE_CHECK_INTERVAL,
        () -> closeIdleConnections(options.idleTimeout()));
  }

  /**
   * Starts a server.
   *
   * @param name the prefix of the names of its threads
   * @param endpoint the address to listen on; port 0 selects a free port
   * @param maxBodyBytes the maximum size of a request body, in bytes
   * @param handler handles the requests
   * @return the running server
   * @throws WigeonstageException with {@link ErrorCode#IO} if the server can't listen on the
   *     endpoint
   */
  public static HttpServer start(
      String name, Endpoint endpoint, int maxBodyBytes, RequestHandler handler) {
    return start(name, endpoint, ServerOptions.withBodyLimit(maxBodyBytes), handler);
  }

  /**
   * Starts a server.
   *
   * @param name the prefix of the names of its threads
   * @param endpoint the address to listen on; port 0 selects a free port
   * @param options the limits of the server
   * @param handler handles the requests
   * @return the running server
   * @throws WigeonstageException with {@link ErrorCode#IO} if the server can't listen on the
   *     endpoint
   */
  public static HttpServer start(
      String name, Endpoint endpoint, ServerOptions options, RequestHandler handler) {
    return start(
        name, endpoint, options, MonotonicClock.system(), ConnectionListener.NONE, handler);
  }

  /**
   * Starts a server with a clock and a connection listener.
   *
   * @param name the prefix of the names of its threads
   * @param endpoint the address to listen on; port 0 selects a free port
   * @param options the limits of the server
   * @param clock the clock that measures the arrival of requests
   * @param listener notified when connections close, on the selector thread
   * @param handler handles the requests
   * @return the running server
   * @throws WigeonstageException with {@link ErrorCode#IO} if the server can't listen on the
   *     endpoint
   */
  public static HttpServer start(
      String name,
      Endpoint endpoint,
      ServerOptions options,
      MonotonicClock clock,
      ConnectionListener listener,
      RequestHandler handler) {
    return start(name, endpoint, options, clock, listener, Optional.empty(), handler);
  }

  /**
   * Starts a server that bounds the memory that it holds for its callers.
   *
   * @param name the prefix of the names of its threads
   * @param endpoint the address to listen on; port 0 selects a free port
   * @param options the limits of the server
   * @param clock the clock that measures the arrival of requests
   * @param listener notified when connections close, on the selector thread
   * @param bound the bound, or empty if only large bodies are bounded, by a share of the heap
   * @param handler handles the requests
   * @return the running server
   * @throws WigeonstageException with {@link ErrorCode#IO} if the server can't listen on the
   *     endpoint
   */
  public static HttpServer start(
      String name,
      Endpoint endpoint,
      ServerOptions options,
      MonotonicClock clock,
      ConnectionListener listener,
      Optional<MemoryBound> bound,
      RequestHandler handler) {
    TCPNIOTransport transport = Transports.create(name, SELECTOR_THREADS, true);
    TimingSelectorHandler selectorHandler = new TimingSelectorHandler(clock);
    transport.setSelectorHandler(selectorHandler);
    transport.setWorkerThreadPoolConfig(
        ThreadPoolConfig.defaultConfig()
            .setPoolName(name + "-handler")
            .setCorePoolSize(options.handlerThreads())
            .setMaxPoolSize(options.handlerThreads())
            .setDaemon(true));
    ExceptionMappingHandler exceptionMappingHandler =
        new ExceptionMappingHandler(handler, task -> transport.getWorkerThreadPool().execute(task));
    ScheduledExecutorService timer =
        ControlExecutors.newSingleThreadExecutor(name + "-connections");
    RequestFilter requestFilter =
        new RequestFilter(
            options.maxBodyBytes(),
            clock,
            selectorHandler,
            timer,
            listener,
            bound.map(BodyMemory::of).orElseGet(BodyMemory::ofHeap),
            exceptionMappingHandler);
    transport.setProcessor(
        FilterChainBuilder.stateless()
            .add(new CallerTransportFilter())
            .add(new StrictHttpServerFilter(options.maxHeadBytes(), requestFilter::refuseMalformed))
            .add(requestFilter)
            .build());
    try {
      TCPNIOServerConnection serverConnection = transport.bind(endpoint.host(), endpoint.port());
      transport.start();
      InetSocketAddress localAddress = (InetSocketAddress) serverConnection.getLocalAddress();
      return new HttpServer(
          transport,
          serverConnection,
          requestFilter,
          new Endpoint(endpoint.host(), localAddress.getPort()),
          timer,
          clock,
          options);
    } catch (IOException e) {
      throw new WigeonstageException(ErrorCode.IO, "can't listen on " + endpoint, e);
    }
  }

  /**
   * Returns the memory that is reserved for the bodies of requests.
   *
   * @return the number of bytes, not counting small bodies
   */
  public long reservedBodyBytes() {
    return requestFilter.reservedBodyBytes();
  }

  /**
   * Returns the memory that is held for responses.
   *
   * @return the number of bytes, or 0 if the server has no {@link MemoryBound}
   */
  public long responseBytes() {
    return requestFilter.responseBytes();
  }

  /**
   * Returns the address that the server listens on.
   *
   * @return the address with the actual port
   */
  public Endpoint endpoint() {
    return endpoint;
  }

  /**
   * Returns the open connections and their unfinished requests.
   *
   * @return the current numbers
   */
  public InFlightWork inFlightWork() {
    return requestFilter.inFlightWork();
  }

  /**
   * Stops accepting connections, closes the open ones after the requests that have arrived on them
   * are answered, and waits until this is done.
   *
   * @param grace how long to wait for responses to be delivered
   * @return whether all responses were handed to the operating system in time
   */
  public boolean drain(Duration grace) {
    Duration deadline = clock.elapsed().plus(Comparators.max(grace, MIN_FINAL_READ_TIME));
    try {
      acceptPendingConnections();
      transport.unbindAll();
      drainConnections(deadline.minus(clock.elapsed()));
      boolean isDelivered =
          Polling.await(requestFilter::hasDeliveredAll, deadline.minus(clock.elapsed()));
      Polling.await(requestFilter::hasNoConnections, CALLER_CLOSE_TIMEOUT);
      return isDelivered;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Accepts pending connections, which would be reset when the server socket is closed. */
  private void acceptPendingConnections() throws InterruptedException {
    Duration deadline = clock.elapsed().plus(MIN_FINAL_READ_TIME);
    long acceptedBefore;
    do {
      acceptedBefore = requestFilter.acceptedCount();
      if (!awaitPendingReads(serverConnection, () -> {}, deadline.minus(clock.elapsed()))) {
        return;
      }
    } while (requestFilter.acceptedCount() > acceptedBefore);
  }

  /** Drains all connections after the requests that have already arrived on them were read. */
  private void drainConnections(Duration timeout) throws InterruptedException {
    Optional<Connection<?>> connection = requestFilter.anyConnection();
    if (connection.isEmpty()
        || !awaitPendingReads(connection.get(), requestFilter::drainAll, timeout)) {
      requestFilter.drainAll();
    }
  }

  /** Runs an action after all pending reads, and waits for it; returns whether it ran in time. */
  private static boolean awaitPendingReads(
      Connection<?> connection, Runnable action, Duration timeout) throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    ReadBarrier.runAfterPendingReads(
        connection,
        () -> {
          action.run();
          done.countDown();
        });
    boolean isInTime = done.await(timeout.toMillis(), TimeUnit.MILLISECONDS);
    if (!isInTime) {
      logger.atWarning().log(
          "not all data that arrived before the server's stop was read within %s ms; requests in it"
              + " may get no response",
          timeout.toMillis());
    }
    return isInTime;
  }

  /** Closes idle connections, after pending reads: a connection with unread data is not idle. */
  private void closeIdleConnections(Duration idleTimeout) {
    requestFilter
        .anyConnection()
        .ifPresent(
            connection ->
                ReadBarrier.runAfterPendingReads(
                    connection, () -> requestFilter.closeIdle(idleTimeout)));
  }

  @Override
  public void close() {
    timer.shutdownNow();
    Selector selector = serverConnection.getSelectorRunner().getSelector();
    try {
      transport.shutdownNow();
      // The selector thread closes the sockets, which accept connections until it has stopped.
      Polling.await(() -> !selector.isOpen(), SELECTOR_STOP_TIMEOUT);
    } catch (IOException e) {
      throw new WigeonstageException(ErrorCode.IO, "can't stop listening on " + endpoint, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
