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
 * A backend server that does the work that a request's query asks for, and records it. It shares no
 * code with the product, whose faults it would share otherwise.
 */
final class SoakServer implements Closeable {

  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
  }

  private static final int PART_BYTES = 64 * 1024;
  private static final int SLOTS = 16;
  private static final String ATTEMPT_ID = "Attempt-Id";

  private final String id;
  private final double slowness;
  private final SoakClock clock;
  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<Run> runs = new CopyOnWriteArrayList<>();
  private volatile Endpoint advertised;

  /** A request that was run, and when, in milliseconds of the soak. */
  static final class Run {
    final String request;
    final String server;
    final int firstEvent;
    final long beganAt;
    volatile long endedAt = Long.MAX_VALUE;
    volatile String end = "at work";

    Run(String request, String server, int firstEvent, long beganAt) {
      this.request = request;
      this.server = server;
      this.firstEvent = firstEvent;
      this.beganAt = beganAt;
    }

    void end(long at, String how) {
      end = how;
      endedAt = at;
    }

    @Override
    public String toString() {
      return "run at %s from event %d: %d to %s ms, %s"
          .formatted(server, firstEvent, beganAt, endedAt == Long.MAX_VALUE ? "?" : endedAt, end);
    }
  }

  SoakServer(String id, double slowness, SoakClock clock) throws IOException {
    this.id = id;
    this.slowness = slowness;
    this.clock = clock;
    this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    this.advertised = new Endpoint("127.0.0.1", server.getAddress().getPort());
    server.setExecutor(threads);
    server.createContext("/healthz", exchange -> answerProbe(exchange, ""));
    server.createContext("/wigeonstage/", exchange -> answerProbe(exchange, "{}"));
    server.createContext("/", this::handle);
    server.start();
  }

  String id() {
    return id;
  }

  Endpoint endpoint() {
    return new Endpoint("127.0.0.1", server.getAddress().getPort());
  }

  /** Sets the address under which it registers. */
  void advertise(Endpoint endpoint) {
    advertised = endpoint;
  }

  ObjectNode entry(String state) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("service", "engines")
        .put("address", advertised.toString())
        .put("zone", "zone-a")
        .put("version", "v1")
        .put("slot_count", SLOTS)
        .put("state", state)
        .put("cold_remaining_ms", 0)
        .put("sequence", 1);
  }

  List<Run> runs() {
    return runs;
  }

  /** Returns the body that belongs to a request. */
  static byte[] bodyOf(String request, int size) {
    byte[] unit = (request + ";").getBytes(StandardCharsets.US_ASCII);
    byte[] body = new byte[size];
    for (int i = 0; i < size; i++) {
      body[i] = unit[i % unit.length];
    }
    return body;
  }

  static String event(String request, int number) {
    return "id: " + number + "\ndata: " + request + " " + number + "\n\n";
  }

  private void answerProbe(HttpExchange exchange, String body) throws IOException {
    try (exchange) {
      exchange.getResponseHeaders().set("Instance-Id", id);
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      exchange.sendResponseHeaders(200, bytes.length == 0 ? -1 : bytes.length);
      exchange.getResponseBody().write(bytes);
    }
  }

  private void handle(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    String request = String.valueOf(exchange.getRequestHeaders().getFirst(ATTEMPT_ID));
    String resumed = exchange.getRequestHeaders().getFirst("Last-Event-Id");
    SoakWork work = SoakWork.parse(exchange.getRequestURI().getQuery());
    int first = resumed == null ? 1 : Integer.parseInt(resumed) + 1;
    Run run = new Run(request, id, first, clock.millis());
    runs.add(run);
    try {
      if (!Arrays.equals(body, bodyOf(request, work.sentBytes()))) {
        run.end(clock.millis(), "body changed");
        return;
      }
      answer(exchange, run, work);
      run.end(clock.millis(), "answered");
    } catch (IOException e) {
      run.end(clock.millis(), "cut off: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      exchange.close();
    }
  }

  private void answer(HttpExchange exchange, Run run, SoakWork work)
      throws IOException, InterruptedException {
    exchange.getResponseHeaders().set(ATTEMPT_ID, run.request);
    exchange.getResponseHeaders().set("Response-Signature", "signed-by-" + id);
    Thread.sleep((long) (work.workMillis() * slowness));
    if (work.isStream()) {
      stream(exchange, run, work);
      return;
    }
    exchange.sendResponseHeaders(200, work.answerBytes());
    byte[] body = bodyOf(run.request, work.answerBytes());
    OutputStream out = exchange.getResponseBody();
    for (int at = 0; at < body.length; at += PART_BYTES) {
      out.write(body, at, Math.min(PART_BYTES, body.length - at));
    }
    out.close();
  }

  private void stream(HttpExchange exchange, Run run, SoakWork work)
      throws IOException, InterruptedException {
    exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
    exchange.sendResponseHeaders(200, 0);
    OutputStream out = exchange.getResponseBody();
    for (int number = run.firstEvent; number <= work.events(); number++) {
      out.write(event(run.request, number).getBytes(StandardCharsets.UTF_8));
      out.flush();
      Thread.sleep((long) (work.gapMillis() * slowness));
    }
    out.close();
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
