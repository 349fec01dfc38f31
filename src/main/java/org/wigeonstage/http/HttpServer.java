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
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;
import org.wigeonstage.common.ControlExecutors;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.common.Polling;
import org.wigeonstage.common.WigeonstageException;

/** An HTTP server with one handler for all paths. */
public final class HttpServer implements Closeable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** One thread, so that a connection's acceptance, requests and end are read in order. */
  private static final int SELECTOR_THREADS = 1;

  /** Idle connections live this much longer than they may, at most. */
  private static final Duration IDLE_CHECK_INTERVAL = Duration.ofSeconds(1);

  /** Callers that read the end of their connection close it within a few round trips. */
  private static final Duration LAST_CLOSES = Duration.ofMillis(100);

  /** The reading thread ends within a round, which takes milliseconds. */
  private static final Duration CLOSE_LIMIT = Duration.ofSeconds(1);

  /** The least time for what arrived before a stop to be accepted and read. */
  private static final Duration LAST_READS = Duration.ofMillis(100);

  private final TCPNIOTransport transport;
  private final TCPNIOServerConnection listener;
  private final RequestFilter requests;
  private final Endpoint endpoint;
  private final MonotonicClock clock;
  private final ScheduledExecutorService timer;

  private HttpServer(
      TCPNIOTransport transport,
      TCPNIOServerConnection listener,
      RequestFilter requests,
      Endpoint endpoint,
      ScheduledExecutorService timer,
      MonotonicClock clock,
      ServerOptions options) {
    this.transport = transport;
    this.listener = listener;
    this.requests = requests;
    this.endpoint = endpoint;
    this.timer = timer;
    this.clock = clock;
    timer.scheduleWithFixedDelay(
        () -> finishIdle(options.idleTimeout()),
        IDLE_CHECK_INTERVAL.toMillis(),
        IDLE_CHECK_INTERVAL.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  /**
   * Starts a server.
   *
   * @param name the prefix of the names of its threads
   * @param endpoint where to listen
   * @param maxBodyBytes the largest body that is read
   * @param handler answers the requests
   * @return the server
   */
  public static HttpServer start(
      String name, Endpoint endpoint, int maxBodyBytes, RequestHandler handler) {
    return start(name, endpoint, ServerOptions.withBodyLimit(maxBodyBytes), handler);
  }

  /**
   * Starts a server.
   *
   * @param name the prefix of the names of its threads
   * @param endpoint where to listen
   * @param options its limits
   * @param handler answers the requests
   * @return the server
   */
  public static HttpServer start(
      String name, Endpoint endpoint, ServerOptions options, RequestHandler handler) {
    return start(
        name, endpoint, options, MonotonicClock.system(), ConnectionListener.NONE, handler);
  }

  /**
   * Starts a server that tells when its requests arrived.
   *
   * @param name the prefix of the names of its threads
   * @param endpoint where to listen
   * @param options its limits
   * @param clock measures when requests arrive
   * @param observer learns of the ends of connections
   * @param handler answers the requests
   * @return the server
   */
  public static HttpServer start(
      String name,
      Endpoint endpoint,
      ServerOptions options,
      MonotonicClock clock,
      ConnectionListener observer,
      RequestHandler handler) {
    TCPNIOTransport transport = Transports.create(name, SELECTOR_THREADS);
    SelectionRounds rounds = new SelectionRounds(clock);
    transport.setSelectorHandler(rounds);
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
    RequestFilter requests =
        new RequestFilter(
            options.maxBodyBytes(), clock, rounds, timer, observer, exceptionMappingHandler);
    transport.setProcessor(
        FilterChainBuilder.stateless()
            .add(new TransportFilter())
            .add(new PlainHttpFilter(options.maxHeadBytes(), requests::refuseUnreadable))
            .add(requests)
            .build());
    try {
      TCPNIOServerConnection listener = transport.bind(endpoint.host(), endpoint.port());
      transport.start();
      InetSocketAddress bound = (InetSocketAddress) listener.getLocalAddress();
      return new HttpServer(
          transport,
          listener,
          requests,
          new Endpoint(endpoint.host(), bound.getPort()),
          timer,
          clock,
          options);
    } catch (IOException e) {
      throw new WigeonstageException(ErrorCode.IO, "can't listen on " + endpoint, e);
    }
  }

  /**
   * Returns the address that the server listens on.
   *
   * @return the address, with the port that the system chose
   */
  public Endpoint endpoint() {
    return endpoint;
  }

  /**
   * Returns what is open now.
   *
   * @return the connections, requests and answers
   */
  public InFlightWork inFlightWork() {
    return requests.inFlightWork();
  }

  /**
   * Takes no new connections, closes the others after what has come on them is answered, and waits
   * for that.
   *
   * @param grace how long to wait for answers
   * @return whether all answers were handed to the operating system in that time
   */
  public boolean drain(Duration grace) {
    Duration end = clock.elapsed().plus(Comparators.max(grace, LAST_READS));
    try {
      acceptWaiting();
      transport.unbindAll();
      finishAll(end.minus(clock.elapsed()));
      boolean isDelivered = Polling.await(requests::isAllDelivered, end.minus(clock.elapsed()));
      Polling.await(requests::hasNoConnections, LAST_CLOSES);
      return isDelivered;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Accepts the connections that wait, because closing the listener would reset them. */
  private void acceptWaiting() throws InterruptedException {
    Duration end = clock.elapsed().plus(LAST_READS);
    long before;
    do {
      before = requests.accepted();
      if (!awaitBarrier(listener, () -> {}, end.minus(clock.elapsed()))) {
        return;
      }
    } while (requests.accepted() > before);
  }

  /** Finishes all connections once all is read that has arrived on them by now. */
  private void finishAll(Duration limit) throws InterruptedException {
    Optional<Connection<?>> connection = requests.anyConnection();
    if (connection.isEmpty() || !awaitBarrier(connection.get(), requests::finishAll, limit)) {
      requests.finishAll();
    }
  }

  /** Runs an action after a whole round of the reading thread; returns whether it came in time. */
  private static boolean awaitBarrier(Connection<?> connection, Runnable action, Duration limit)
      throws InterruptedException {
    CountDownLatch passed = new CountDownLatch(1);
    ReadBarrier.pass(
        connection,
        () -> {
          action.run();
          passed.countDown();
        });
    boolean isInTime = passed.await(limit.toMillis(), TimeUnit.MILLISECONDS);
    if (!isInTime) {
      logger.atWarning().log("what arrived before the stop could not be read in time");
    }
    return isInTime;
  }

  /** Looks for idle connections after a round of reading, which may have been held up. */
  private void finishIdle(Duration limit) {
    requests
        .anyConnection()
        .ifPresent(connection -> ReadBarrier.pass(connection, () -> requests.finishIdle(limit)));
  }

  @Override
  public void close() {
    timer.shutdownNow();
    Selector selector = listener.getSelectorRunner().getSelector();
    try {
      transport.shutdownNow();
      // Sockets are closed by the reading thread, and still accept until it has ended.
      Polling.await(() -> !selector.isOpen(), CLOSE_LIMIT);
    } catch (IOException e) {
      throw new WigeonstageException(ErrorCode.IO, "can't stop listening on " + endpoint, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
