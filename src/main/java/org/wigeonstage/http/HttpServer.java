package org.wigeonstage.http;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;
import org.wigeonstage.common.ControlThreads;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.common.Polling;
import org.wigeonstage.common.WigeonstageException;

/** An HTTP server with one handler for all paths. */
public final class HttpServer implements Closeable {

  /** One thread, so that a connection's acceptance, requests and end are read in order. */
  private static final int SELECTOR_THREADS = 1;

  /** Idle connections live this much longer than they may, at most. */
  private static final Duration IDLE_CHECK_INTERVAL = Duration.ofSeconds(1);

  private final TCPNIOTransport transport;
  private final RequestFilter requests;
  private final Endpoint endpoint;
  private final ScheduledExecutorService idleChecks;

  private HttpServer(
      String name,
      TCPNIOTransport transport,
      RequestFilter requests,
      Endpoint endpoint,
      ServerOptions options) {
    this.transport = transport;
    this.requests = requests;
    this.endpoint = endpoint;
    this.idleChecks = ControlThreads.single(name + "-idle");
    idleChecks.scheduleWithFixedDelay(
        () -> requests.closeIdle(options.idleTimeout()),
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
    return start(name, endpoint, options, MonotonicClock.system(), handler);
  }

  /**
   * Starts a server that tells when its requests arrived.
   *
   * @param name the prefix of the names of its threads
   * @param endpoint where to listen
   * @param options its limits
   * @param clock measures when requests arrive
   * @param handler answers the requests
   * @return the server
   */
  public static HttpServer start(
      String name,
      Endpoint endpoint,
      ServerOptions options,
      MonotonicClock clock,
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
    SafeHandler safeHandler =
        new SafeHandler(handler, task -> transport.getWorkerThreadPool().execute(task));
    RequestFilter requests = new RequestFilter(options.maxBodyBytes(), clock, rounds, safeHandler);
    transport.setProcessor(
        FilterChainBuilder.stateless()
            .add(new TransportFilter())
            .add(new PlainHttpFilter(options.maxHeadBytes()))
            .add(requests)
            .build());
    try {
      TCPNIOServerConnection listener = transport.bind(endpoint.host(), endpoint.port());
      transport.start();
      InetSocketAddress bound = (InetSocketAddress) listener.getLocalAddress();
      return new HttpServer(
          name, transport, requests, new Endpoint(endpoint.host(), bound.getPort()), options);
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
   * Takes no new connections and waits until the open requests are answered.
   *
   * @param grace how long to wait
   * @return whether all were answered in time
   */
  public boolean drain(Duration grace) {
    transport.unbindAll();
    try {
      return Polling.await(() -> !requests.hasOpenRequests(), grace);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  @Override
  public void close() {
    idleChecks.shutdownNow();
    try {
      transport.shutdownNow();
    } catch (IOException e) {
      throw new WigeonstageException(ErrorCode.IO, "can't stop listening on " + endpoint, e);
    }
  }
}
