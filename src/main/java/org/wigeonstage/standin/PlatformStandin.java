package org.wigeonstage.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.util.concurrent.RateLimiter;
import java.io.Closeable;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.wigeonstage.common.ControlExecutors;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.Json;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpServer;
import org.wigeonstage.http.ProblemDetails;
import org.wigeonstage.http.ServerExchange;
import org.wigeonstage.store.ListedHost;
import org.wigeonstage.store.ObjectList;
import org.wigeonstage.store.StoredObject;

/**
 * A stand-in for the platform: an object API with versions, conditional writes, watches and rate
 * limits, and a host list.
 *
 * <p>Objects are kept in memory. Accounts and deletion are not simulated. The host list is the one
 * that was set last, by {@link #hosts} or a call to {@code /standin/hosts}.
 */
public final class PlatformStandin implements Closeable {

  private static final int MAX_VALUE_BYTES = 1024 * 1024;
  private static final double WRITES_PER_SECOND = 300;
  private static final double READS_PER_SECOND = 2000;
  private static final String JSON = "application/json";
  private static final int OK = 200;
  private static final int NO_CONTENT = 204;
  private static final int TOO_MANY_REQUESTS = 429;

  private final ObjectTable objects = new ObjectTable();
  private final ScheduledExecutorService timer =
      ControlExecutors.newSingleThreadExecutor("platform-timer");
  private final RateLimiter writeLimiter = RateLimiter.create(WRITES_PER_SECOND);
  private final RateLimiter readLimiter = RateLimiter.create(READS_PER_SECOND);
  private final AtomicLong calls = new AtomicLong();
  private final HttpServer server;
  private volatile PlatformFaults faults = PlatformFaults.NONE;
  private volatile List<ListedHost> hosts = List.of();

  private PlatformStandin(Endpoint endpoint) {
    this.server = HttpServer.start("platform", endpoint, MAX_VALUE_BYTES, this::handle);
  }

  /**
   * Starts a stand-in.
   *
   * @param endpoint where to listen
   * @return the stand-in
   */
  public static PlatformStandin start(Endpoint endpoint) {
    return new PlatformStandin(endpoint);
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
   * Sets the faults to simulate.
   *
   * @param newFaults the faults, which replace the previous ones
   */
  public void faults(PlatformFaults newFaults) {
    faults = newFaults;
  }

  /**
   * Sets the host list.
   *
   * @param newHosts the hosts
   */
  public void hosts(List<ListedHost> newHosts) {
    hosts = List.copyOf(newHosts);
  }

  /**
   * Returns the number of calls so far, including those that failed.
   *
   * @return the number
   */
  public long calls() {
    return calls.get();
  }

  private void handle(ServerExchange exchange) {
    if (exchange.path().startsWith("/standin/")) {
      control(exchange);
      return;
    }
    calls.incrementAndGet();
    PlatformFaults current = faults;
    if (current.outage()) {
      ProblemDetails.respond(exchange, ErrorCode.STORE_UNAVAILABLE, "outage", Map.of());
    } else if (current.delayMillis() > 0) {
      timer.schedule(() -> serve(exchange, current), current.delayMillis(), TimeUnit.MILLISECONDS);
    } else {
      serve(exchange, current);
    }
  }

  private void control(ServerExchange exchange) {
    JsonNode body = Json.parse(exchange.text());
    switch (exchange.path()) {
      case "/standin/faults" -> faults(Json.read(body, PlatformFaults.class));
      case "/standin/hosts" -> hosts(List.of(Json.read(body, ListedHost[].class)));
      default -> {
        notFound(exchange);
        return;
      }
    }
    exchange.respond(OK, JSON, "{}");
  }

  private void serve(ServerExchange exchange, PlatformFaults current) {
    boolean isWrite = exchange.method().equals("PUT");
    if (!(isWrite ? writeLimiter : readLimiter).tryAcquire()) {
      exchange.respond(TOO_MANY_REQUESTS, JSON, "{}");
      return;
    }
    String[] parts = exchange.path().split("/", -1);
    boolean isObject = exchange.path().startsWith("/v1/objects/");
    if (isWrite && isObject && parts.length == 5) {
      put(exchange, parts[3], parts[4], current);
    } else if (isObject && parts.length == 5) {
      get(exchange, parts[3], parts[4]);
    } else if (isObject && parts.length == 4) {
      exchange.respond(OK, JSON, Json.write(objects.list(parts[3])));
    } else if (exchange.path().startsWith("/v1/watch/") && parts.length == 4) {
      watch(exchange, parts[3]);
    } else if (exchange.path().equals("/v1/hosts")) {
      exchange.respond(OK, JSON, Json.write(hosts));
    } else {
      notFound(exchange);
    }
  }

  private static void notFound(ServerExchange exchange) {
    ProblemDetails.respond(
        exchange, ErrorCode.NOT_FOUND, "there is no resource at " + exchange.path(), Map.of());
  }

  private void get(ServerExchange exchange, String kind, String name) {
    Optional<StoredObject> object = objects.get(kind, name);
    if (object.isPresent()) {
      exchange.respond(OK, JSON, Json.write(object.get()));
    } else {
      notFound(exchange);
    }
  }

  private void put(ServerExchange exchange, String kind, String name, PlatformFaults current) {
    long expected = Long.parseLong(Objects.requireNonNullElse(exchange.header("If-Match"), "0"));
    OptionalLong version = objects.put(kind, name, expected, exchange.text());
    if (current.loseAnswers()) {
      exchange.abort();
    } else if (version.isPresent()) {
      exchange.respond(
          OK,
          JSON,
          JsonNodeFactory.instance.objectNode().put("version", version.getAsLong()).toString());
    } else {
      ProblemDetails.respond(
          exchange,
          ErrorCode.VERSION_CONFLICT,
          "the object does not have the version in If-Match",
          Map.of());
    }
  }

  private void watch(ServerExchange exchange, String kind) {
    long after = Long.parseLong(Objects.requireNonNullElse(exchange.parameter("after"), "0"));
    long timeoutMillis =
        Long.parseLong(Objects.requireNonNullElse(exchange.parameter("timeoutMillis"), "20000"));
    AtomicBoolean responded = new AtomicBoolean();
    ObjectTable.Watcher watcher =
        list -> {
          if (responded.compareAndSet(false, true)) {
            exchange.respond(OK, JSON, Json.write(list));
          }
        };
    Optional<ObjectList> already = objects.listOrWatch(kind, after, watcher);
    if (already.isPresent()) {
      watcher.onWrite(already.get());
      return;
    }
    timer.schedule(
        () -> {
          objects.removeWatcher(kind, watcher);
          if (responded.compareAndSet(false, true)) {
            exchange.respond(NO_CONTENT, JSON, "");
          }
        },
        timeoutMillis,
        TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    timer.shutdownNow();
    server.close();
  }
}
