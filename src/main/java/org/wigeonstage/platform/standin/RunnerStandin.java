package org.wigeonstage.platform.standin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.wigeonstage.common.ControlExecutors;
import org.wigeonstage.http.Arrival;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpServer;
import org.wigeonstage.http.ServerExchange;
import org.wigeonstage.request.HeaderFields;

/**
 * Stands in for a runner. Requests that declare tokens get a stream of numbered events, others a
 * short body. It records what it ran, and misbehaves as it is told.
 */
public final class RunnerStandin implements Closeable {

  /** How the next requests are treated. */
  public enum Behaviour {
    /** Whole answers. */
    NORMAL,
    /** Refused without being run. */
    DECLINES,
    /** Run, and answered with a failure. */
    FAILS,
    /** Run, and the connection is closed without an answer. */
    LOSES_RESPONSE,
    /** Run, and the answer breaks off in its middle. */
    TRUNCATES_RESPONSE,
    /**
     * Run, and the answer stands still for seconds, a stream's in its middle, and is whole then.
     */
    STALLS,
    /** Run; streams break off in their middle, and are answered with a failure where they go on. */
    TRUNCATES_THEN_FAILS,
    /** Run, and the answer names another request. */
    RETURNS_OTHER_ATTEMPT_ID,
    /** Run, and a stream is answered with a plain body. */
    RESPONDS_WITHOUT_STREAM,
    /** Run, and a stream never gets to the end of its first event, but goes on without end. */
    SENDS_ENDLESS_EVENT,
    /** Run, and the answer has no signature. */
    OMITS_SIGNATURE,
    /** Connections that are not new are reset at their next request, and nothing is run. */
    RESETS_REUSED_CONNECTIONS,
    /** Run, and never answered. */
    NEVER_RESPONDS,
    /** Nothing is run or answered. */
    IGNORES_REQUESTS
  }

  private static final int MAX_BODY_BYTES = 1024 * 1024;
  private static final int EVENTS = 8;
  private static final long EVENT_MILLIS = 5;
  private static final long NEW_MILLIS = 600;
  private static final long PAUSE_MILLIS = 2500;
  private static final int ENDLESS_PART_BYTES = 64 * 1024;
  private static final int OK = 200;
  private static final int MISDIRECTED = 421;
  private static final int FAILURE = 500;
  private static final int UNAVAILABLE = 503;
  private static final String ATTEMPT_ID = "Attempt-Id";

  private final String id;
  private final HttpServer server;
  private final ScheduledExecutorService timer =
      ControlExecutors.newSingleThreadExecutor("runner-timer");
  private final List<RunRecord> runs = new CopyOnWriteArrayList<>();
  private final AtomicLong endlessBytesSent = new AtomicLong();
  private volatile Behaviour behaviour = Behaviour.NORMAL;

  /**
   * A request that was run.
   *
   * @param attemptId its identifier
   * @param method the method
   * @param target the path with its query
   * @param fields the header fields
   * @param body the body
   */
  public record RunRecord(
      String attemptId, String method, String target, HeaderFields fields, String body) {}

  private RunnerStandin(String id, Endpoint listen) {
    this.id = id;
    this.server = HttpServer.start("runner", listen, MAX_BODY_BYTES, this::handle);
  }

  /**
   * Starts a stand-in.
   *
   * @param id the identifier under which it registers
   * @param listen where to listen
   * @return the stand-in
   */
  public static RunnerStandin start(String id, Endpoint listen) {
    return new RunnerStandin(id, listen);
  }

  /**
   * Returns the address that it listens on.
   *
   * @return the address, with the port that the system chose
   */
  public Endpoint endpoint() {
    return server.endpoint();
  }

  /**
   * Sets how requests are treated from now on.
   *
   * @param next the behaviour
   */
  public void setBehaviour(Behaviour next) {
    behaviour = next;
  }

  /**
   * Returns what was run so far.
   *
   * @return the requests in order
   */
  public List<RunRecord> runs() {
    return List.copyOf(runs);
  }

  /**
   * Returns its entry in the store.
   *
   * @param service the service that it belongs to
   * @param state {@code ready} or {@code draining}
   * @return the entry
   */
  public ObjectNode registration(String service, String state) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("service", service)
        .put("address", endpoint().toString())
        .put("zone", "zone-a")
        .put("version", "v1")
        .put("slot_count", 4)
        .put("state", state)
        .put("cold_remaining_ms", 0)
        .put("sequence", 1);
  }

  private void handle(ServerExchange exchange) {
    Behaviour current = behaviour;
    if (current == Behaviour.IGNORES_REQUESTS) {
      return;
    }
    if (current == Behaviour.RESETS_REUSED_CONNECTIONS && !isNew(exchange)) {
      exchange.abort();
      return;
    }
    String expected = exchange.header("Target-Instance");
    if (expected != null && !expected.equals(id)) {
      exchange.respond(MISDIRECTED, HeaderFields.NONE.with("Instance-Id", id), new byte[0]);
      return;
    }
    if (current == Behaviour.DECLINES) {
      exchange.respond(UNAVAILABLE, HeaderFields.NONE.with("Not-Executed", "1"), new byte[0]);
      return;
    }
    String attemptId = Optional.ofNullable(exchange.header(ATTEMPT_ID)).orElse("");
    runs.add(
        new RunRecord(
            attemptId,
            exchange.method(),
            exchange.pathAndQuery(),
            exchange.fields(),
            exchange.text()));
    run(exchange, current, attemptId);
  }

  private static boolean isNew(ServerExchange exchange) {
    Arrival arrival = exchange.arrival();
    return arrival.readAt().minus(arrival.connectedAt()).toMillis() < NEW_MILLIS;
  }

  private void run(ServerExchange exchange, Behaviour current, String attemptId) {
    if (current == Behaviour.NEVER_RESPONDS) {
      return;
    }
    if (current == Behaviour.LOSES_RESPONSE) {
      exchange.abort();
      return;
    }
    HeaderFields fields =
        HeaderFields.NONE.with(
            ATTEMPT_ID, current == Behaviour.RETURNS_OTHER_ATTEMPT_ID ? "another" : attemptId);
    if (current != Behaviour.OMITS_SIGNATURE) {
      fields = fields.with("Response-Signature", "signed-by-" + id);
    }
    boolean failsNow =
        current == Behaviour.TRUNCATES_THEN_FAILS && exchange.header("Last-Event-Id") != null;
    if (current == Behaviour.FAILS || failsNow) {
      exchange.respond(FAILURE, fields, "failed".getBytes(StandardCharsets.UTF_8));
    } else if (exchange.header("Token-Count") != null && current != Behaviour.RESPONDS_WITHOUT_STREAM) {
      stream(exchange, fields, current);
    } else if (current == Behaviour.STALLS) {
      HeaderFields whole = fields;
      timer.schedule(() -> plain(exchange, whole, false), PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      plain(exchange, fields, current == Behaviour.TRUNCATES_RESPONSE);
    }
  }

  private void plain(ServerExchange exchange, HeaderFields fields, boolean cut) {
    byte[] body = ("answer of " + id).getBytes(StandardCharsets.UTF_8);
    if (cut) {
      exchange.start(OK, fields, body.length * 2L);
      exchange.write(body);
      timer.schedule(exchange::abort, EVENT_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      exchange.respond(OK, fields, body);
    }
  }

  private void stream(ServerExchange exchange, HeaderFields fields, Behaviour current) {
    String resumed = exchange.header("Last-Event-Id");
    int first = resumed == null ? 1 : Integer.parseInt(resumed) + 1;
    exchange.start(OK, fields.with("Content-Type", "text/event-stream"), -1);
    if (current == Behaviour.SENDS_ENDLESS_EVENT) {
      AtomicBoolean cutOff = new AtomicBoolean();
      exchange.onDisconnect(() -> cutOff.set(true));
      sendWithoutEnd(exchange, cutOff);
    } else {
      sendEvent(exchange, first, current);
    }
  }

  private void sendWithoutEnd(ServerExchange exchange, AtomicBoolean cutOff) {
    if (cutOff.get()) {
      return;
    }
    exchange.write(new byte[ENDLESS_PART_BYTES]);
    endlessBytesSent.addAndGet(ENDLESS_PART_BYTES);
    timer.schedule(() -> sendWithoutEnd(exchange, cutOff), 1, TimeUnit.MILLISECONDS);
  }

  /**
   * Returns how many bytes were sent in answers without end.
   *
   * @return the number
   */
  public long endlessBytesSent() {
    return endlessBytesSent.get();
  }

  private void sendEvent(ServerExchange exchange, int number, Behaviour current) {
    if (number > EVENTS) {
      exchange.end();
      return;
    }
    String event = "id: " + number + "\ndata: event " + number + "\n\n";
    boolean cuts = current == Behaviour.TRUNCATES_RESPONSE || current == Behaviour.TRUNCATES_THEN_FAILS;
    if (cuts && number == EVENTS / 2) {
      String half = event.substring(0, event.length() / 2);
      exchange.write(half.getBytes(StandardCharsets.UTF_8));
      timer.schedule(exchange::abort, EVENT_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    exchange.write(event.getBytes(StandardCharsets.UTF_8));
    boolean pauses = current == Behaviour.STALLS && number == EVENTS / 2;
    timer.schedule(
        () -> sendEvent(exchange, number + 1, current),
        pauses ? PAUSE_MILLIS : EVENT_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    timer.shutdownNow();
    server.close();
  }
}
