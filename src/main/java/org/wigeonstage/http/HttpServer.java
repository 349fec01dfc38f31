package org.wigeonstage.http;

import java.io.Closeable;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;
import org.glassfish.grizzly.utils.DelayedExecutor;
import org.glassfish.grizzly.utils.IdleTimeoutFilter;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.common.WigeonstageException;

/** An HTTP server with one handler for all paths. */
public final class HttpServer implements Closeable {

  /** One thread, so that a connection's acceptance, requests and end are read in order. */
  private static final int SELECTOR_THREADS = 1;

  private final org.glassfish.grizzly.http.server.HttpServer server;
  private final NetworkListener listener;
  private final DelayedExecutor idleConnections;

  private HttpServer(
      org.glassfish.grizzly.http.server.HttpServer server,
      NetworkListener listener,
      DelayedExecutor idleConnections) {
    this.server = server;
    this.listener = listener;
    this.idleConnections = idleConnections;
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
    NetworkListener listener = new NetworkListener(name, endpoint.host(), endpoint.port());
    listener.setTransport(transport);
    listener.getFileCache().setEnabled(false);
    listener.getKeepAlive().setIdleTimeoutInSeconds((int) options.idleTimeout().toSeconds());
    listener.getKeepAlive().setMaxRequestsCount(-1);
    DelayedExecutor idleConnections = IdleTimeoutFilter.createDefaultIdleDelayedExecutor();
    idleConnections.start();
    PlainHttpFilter.install(listener, idleConnections, options.maxHeadBytes(), rounds);
    org.glassfish.grizzly.http.server.HttpServer server =
        new org.glassfish.grizzly.http.server.HttpServer();
    server.addListener(listener);
    server
        .getServerConfiguration()
        .addHttpHandler(new BodyReader(options.maxBodyBytes(), handler), "/");
    try {
      server.start();
    } catch (IOException e) {
      throw new WigeonstageException(ErrorCode.IO, "can't listen on " + endpoint, e);
    }
    return new HttpServer(server, listener, idleConnections);
  }

  /**
   * Returns the address that the server listens on.
   *
   * @return the address, with the port that the system chose
   */
  public Endpoint endpoint() {
    return new Endpoint(listener.getHost(), listener.getPort());
  }

  /**
   * Takes no new connections and waits until the open requests are answered.
   *
   * @param grace how long to wait
   * @return whether all were answered in time
   */
  public boolean drain(Duration grace) {
    try {
      server
          .shutdown(grace.toMillis(), TimeUnit.MILLISECONDS)
          .get(grace.toMillis(), TimeUnit.MILLISECONDS);
      return true;
    } catch (TimeoutException | ExecutionException e) {
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  @Override
  public void close() {
    server.shutdownNow();
    idleConnections.destroy();
  }
}
