package org.wigeonstage.system;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.wigeonstage.http.Endpoint;

/**
 * A backend server that responds as the query of a request specifies, and records each run. It
 * shares no code with production classes, so that it does not share their faults.
 */
final class SoakServer implements Closeable {

  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
  }

  private static final int WRITE_BYTES = 64 * 1024;
  private static final int SLOT_COUNT = 16;
  private static final String ATTEMPT_ID = "Attempt-Id";

  private final String id;
  private final double slowdownFactor;
  private final SoakClock clock;
  private final HttpServer server;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final List<Run> runs = new CopyOnWriteArrayList<>();
  private volatile Endpoint advertisedEndpoint;

  /** A run of a request. Times are in milliseconds since the start of the soak test. */
  static final class Run {
    final String requestId;
    final String server;
    final int firstEvent;
    final long startedAtMillis;
    volatile long endedAtMillis = Long.MAX_VALUE;
    volatile String result = "running";

    Run(String requestId, String server, int firstEvent, long startedAtMillis) {
      this.requestId = requestId;
      this.server = server;
      this.firstEvent = firstEvent;
      this.startedAtMillis = startedAtMillis;
    }

    void finish(long atMillis, String newResult) {
      result = newResult;
      endedAtMillis = atMillis;
    }

    @Override
    public String toString() {
      return "run at %s from event %d: %d to %s ms, %s"
          .formatted(
              server,
              firstEvent,
              startedAtMillis,
              endedAtMillis == Long.MAX_VALUE ? "?" : endedAtMillis,
              result);
    }
  }

  SoakServer(String id, double slowdownFactor, SoakClock clock) throws IOException {
    this.id = id;
    this.slowdownFactor = slowdownFactor;
    this.clock = clock;
    this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    this.advertisedEndpoint = new Endpoint("127.0.0.1", server.getAddress().getPort());
    server.setExecutor(executor);
    server.createContext("/healthz", exchange -> respondToProbe(exchange, ""));
    server.createContext("/wigeonstage/", exchange -> respondToProbe(exchange, "{}"));
    server.createContext("/", this::handle);
    server.start();
  }

  String id() {
    return id;
  }

  Endpoint endpoint() {
    return new Endpoint("127.0.0.1", server.getAddress().getPort());
  }

  /** Sets the endpoint under which the server is registered. */
  void advertise(Endpoint endpoint) {
    advertisedEndpoint = endpoint;
  }

  ObjectNode registration(String state) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("service", "engines")
        .put("address", advertisedEndpoint.toString())
        .put("zone", "zone-a")
        .put("version", "v1")
        .put("slot_count", SLOT_COUNT)
        .put("state", state)
        .put("cold_remaining_ms", 0)
        .put("sequence", 1);
  }

  List<Run> runs() {
    return runs;
  }

  /** Returns a body of the given size in bytes that repeats the request ID. */
  static byte[] createBody(String requestId, int size) {
    byte[] unit = (requestId + ";").getBytes(StandardCharsets.US_ASCII);
    byte[] body = new byte[size];
    for (int i = 0; i < size; i++) {
      body[i] = unit[i % unit.length];
    }
    return body;
  }

  static String event(String requestId, int number) {
    return "id: " + number + "\ndata: " + requestId + " " + number + "\n\n";
  }

  private void respondToProbe(HttpExchange exchange, String body) throws IOException {
    try (exchange) {
      exchange.getResponseHeaders().set("Instance-Id", id);
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      exchange.sendResponseHeaders(200, bytes.length == 0 ? -1 : bytes.length);
      exchange.getResponseBody().write(bytes);
    }
  }

  private void handle(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    String requestId = String.valueOf(exchange.getRequestHeaders().getFirst(ATTEMPT_ID));
    String lastEventId = exchange.getRequestHeaders().getFirst("Last-Event-Id");
    SoakRequest request = SoakRequest.parse(exchange.getRequestURI().getQuery());
    int firstEvent = lastEventId == null ? 1 : Integer.parseInt(lastEventId) + 1;
    Run run = new Run(requestId, id, firstEvent, clock.elapsedMillis());
    runs.add(run);
    try {
      if (!Arrays.equals(body, createBody(requestId, request.requestBytes()))) {
        run.finish(clock.elapsedMillis(), "body changed");
        return;
      }
      respond(exchange, run, request);
      run.finish(clock.elapsedMillis(), "completed");
    } catch (IOException e) {
      run.finish(clock.elapsedMillis(), "connection lost: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      exchange.close();
    }
  }

  private void respond(HttpExchange exchange, Run run, SoakRequest request)
      throws IOException, InterruptedException {
    exchange.getResponseHeaders().set(ATTEMPT_ID, run.requestId);
    exchange.getResponseHeaders().set("Response-Signature", "signed-by-" + id);
    Thread.sleep((long) (request.processingMillis() * slowdownFactor));
    if (request.isStream()) {
      respondWithEvents(exchange, run, request);
      return;
    }
    exchange.sendResponseHeaders(200, request.responseBytes());
    byte[] body = createBody(run.requestId, request.responseBytes());
    OutputStream out = exchange.getResponseBody();
    for (int offset = 0; offset < body.length; offset += WRITE_BYTES) {
      out.write(body, offset, Math.min(WRITE_BYTES, body.length - offset));
    }
    out.close();
  }

  private void respondWithEvents(HttpExchange exchange, Run run, SoakRequest request)
      throws IOException, InterruptedException {
    exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
    exchange.sendResponseHeaders(200, 0);
    OutputStream out = exchange.getResponseBody();
    for (int number = run.firstEvent; number <= request.events(); number++) {
      out.write(event(run.requestId, number).getBytes(StandardCharsets.UTF_8));
      out.flush();
      Thread.sleep((long) (request.gapMillis() * slowdownFactor));
    }
    out.close();
  }

  @Override
  public void close() {
    server.stop(0);
    executor.shutdownNow();
  }
}
