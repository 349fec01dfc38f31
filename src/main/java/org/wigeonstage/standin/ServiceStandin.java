package org.wigeonstage.standin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.wigeonstage.common.ControlExecutors;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpServer;
import org.wigeonstage.http.ServerExchange;

/**
 * A stand-in for a plain service: it counts how often it ran each request body, and returns the
 * body in the response after a fixed time.
 *
 * <p>It has no other state, and no limit on concurrent requests.
 */
public final class ServiceStandin implements Closeable {

  private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final String JSON = "application/json";
  private static final int OK = 200;

  private final String name;
  private final long delayMillis;
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> dispatches = new ConcurrentHashMap<>();
  private final ScheduledExecutorService timer =
      ControlExecutors.newSingleThreadExecutor("service-timer");
  private final HttpServer server;

  private ServiceStandin(String name, Endpoint endpoint, long delayMillis) {
    this.name = name;
    this.delayMillis = delayMillis;
    this.server = HttpServer.start("service", endpoint, MAX_BODY_BYTES, this::handle);
  }

  /**
   * Starts a stand-in.
   *
   * @param name the name of the service, which is part of its responses
   * @param endpoint where to listen
   * @param delayMillis how long each request takes, in milliseconds
   * @return the stand-in
   */
  public static ServiceStandin start(String name, Endpoint endpoint, long delayMillis) {
    return new ServiceStandin(name, endpoint, delayMillis);
  }

  /**
   * Returns the address that the stand-in listens on.
   *
   * @return the address, with the port that the system chose
   */
  public Endpoint endpoint() {
    return server.endpoint();
  }

  /**
   * Returns how often each body was run.
   *
   * @return counts by body text
   */
  public Map<String, Integer> runs() {
    return snapshot(runs);
  }

  /**
   * Returns how often each request identifier was received.
   *
   * @return counts by identifier
   */
  public Map<String, Integer> dispatches() {
    return snapshot(dispatches);
  }

  private static Map<String, Integer> snapshot(Map<String, AtomicInteger> counts) {
    Map<String, Integer> copy = new ConcurrentHashMap<>();
    counts.forEach((key, count) -> copy.put(key, count.get()));
    return copy;
  }

  private void handle(ServerExchange exchange) {
    if (exchange.path().equals("/standin/runs")) {
      ObjectNode counts = JsonNodeFactory.instance.objectNode();
      runs().forEach(counts::put);
      exchange.respond(OK, JSON, counts.toString());
      return;
    }
    String body = exchange.text();
    int run = runs.computeIfAbsent(body, key -> new AtomicInteger()).incrementAndGet();
    String id = exchange.header("X-Request-Id");
    if (id != null) {
      dispatches.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
    }
    String response =
        JsonNodeFactory.instance
            .objectNode()
            .put("service", name)
            .put("method", exchange.method())
            .put("path", exchange.pathAndQuery())
            .put("run", run)
            .put("echo", body)
            .toString();
    timer.schedule(() -> exchange.respond(OK, JSON, response), delayMillis, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    timer.shutdownNow();
    server.close();
  }
}
