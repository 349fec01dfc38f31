package org.wigeonstage.system;

import java.io.IOException;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.http.Endpoint;

/**
 * Sends requests on a persistent connection, and connects to a random gateway after it is closed.
 * Some callers read slowly; some send the next request as soon as a response is complete.
 */
final class SoakCaller {

  /** Delay after an error response; a {@code Retry-After} field is ignored. */
  private static final long ERROR_BACKOFF_MILLIS = 20;

  private static final long RECONNECT_DELAY_MILLIS = 20;
  private static final int LARGE_RESPONSE_BYTES = 8_000_000;
  private static final int MIN_ERROR_STATUS = 400;

  private final String name;
  private final SplittableRandom random;
  private final List<RestartableGateway> gateways;
  private final Function<RestartableGateway, Endpoint> callerEndpoint;
  private final int timeoutMillis;
  private final SoakClock clock;
  private final boolean readsSlowly;
  private final int maxThinkTimeMillis;
  private final Queue<SoakCall> calls = new ConcurrentLinkedQueue<>();
  private final Thread thread = new Thread(this::run);
  private volatile boolean stopping;
  private @Nullable SoakRequest firstRequest;
  private int connectionCount;
  private int requestCount;

  SoakCaller(
      String name,
      SplittableRandom random,
      List<RestartableGateway> gateways,
      Function<RestartableGateway, Endpoint> callerEndpoint,
      int timeoutMillis,
      SoakClock clock) {
    this.name = name;
    this.random = random;
    this.gateways = gateways;
    this.callerEndpoint = callerEndpoint;
    this.timeoutMillis = timeoutMillis;
    this.clock = clock;
    this.readsSlowly = random.nextInt(6) == 0;
    this.maxThinkTimeMillis = random.nextBoolean() ? 0 : 60;
    thread.setDaemon(true);
    thread.setName(name);
  }

  /** Sets the first request; later ones are random. */
  void setFirstRequest(SoakRequest request) {
    firstRequest = request;
  }

  void start() {
    thread.start();
  }

  /**
   * Lets the caller finish its current request and stop.
   *
   * @return all requests that the caller has sent
   * @throws AssertionError if the caller does not stop within the timeout
   */
  List<SoakCall> stopAndAwait(long timeoutMillis) throws InterruptedException {
    stopping = true;
    thread.join(timeoutMillis);
    if (thread.isAlive()) {
      throw new AssertionError(name + " did not finish within " + timeoutMillis + " ms");
    }
    return List.copyOf(calls);
  }

  void requestStop() {
    stopping = true;
  }

  private void run() {
    while (!stopping) {
      RestartableGateway gateway = gateways.get(random.nextInt(gateways.size()));
      try (SoakConnection connection =
          new SoakConnection(callerEndpoint.apply(gateway), readsSlowly, timeoutMillis, clock)) {
        sendRequests(connection, gateway.name(), name + "-" + ++connectionCount);
      } catch (IOException e) {
        // The gateway is down; another one may be running.
        ProcessFleet.sleep(RECONNECT_DELAY_MILLIS);
      }
    }
  }

  private void sendRequests(SoakConnection connection, String gateway, String connectionName) {
    for (int numberOnConnection = 1; !stopping; numberOnConnection++) {
      SoakCall call =
          new SoakCall(
              name + "." + ++requestCount,
              gateway,
              connectionName,
              numberOnConnection,
              nextRequest());
      calls.add(call);
      if (!connection.exchange(call)) {
        return;
      }
      ProcessFleet.sleep(
          call.status >= MIN_ERROR_STATUS
              ? ERROR_BACKOFF_MILLIS
              : maxThinkTimeMillis == 0 ? 0 : random.nextInt(maxThinkTimeMillis));
    }
  }

  private SoakRequest nextRequest() {
    SoakRequest next = firstRequest;
    if (next != null) {
      firstRequest = null;
      return next;
    }
    if (readsSlowly && random.nextInt(3) == 0) {
      return SoakRequest.plain(0, LARGE_RESPONSE_BYTES);
    }
    return SoakRequest.generate(random);
  }
}
