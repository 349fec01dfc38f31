package org.wigeonstage.platform.standin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
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
 * A stand-in for a backend server of the platform (a "runner").
 *
 * <p>It responds to requests that declare tokens with a stream of numbered events, and to others
 * with a short body. It records the requests that it ran and can simulate faults.
 */
public final class RunnerStandin implements Closeable {

  /** How requests are handled. */
  public enum Behaviour {
    /** Runs the request and sends the complete response. */
    NORMAL,
    /** Refuses the request without running it. */
    DECLINES,
    /** Runs the request and responds with an error status. */
    FAILS,
    /** Runs the request and closes the connection without a response. */
    LOSES_RESPONSE,
    /** Runs the request and closes the connection in the middle of the response. */
    TRUNCATES_RESPONSE,
    /**
     * Runs the request and pauses for 2.5 s, before a plain response or in the middle of a stream,
     * then completes the response.
     */
    STALLS,
    /**
     * Runs the request. Closes the connection in the middle of a stream, and responds with an error
     * status to requests that resume a stream.
     */
    TRUNCATES_THEN_FAILS,
    /** Runs the request and returns the attempt ID of another one. */
    RETURNS_OTHER_ATTEMPT_ID,
    /** Runs the request and responds with a plain body where a stream is expected. */
    RESPONDS_WITHOUT_STREAM,
    /** Runs the request and starts a stream whose first event never ends. */
    SENDS_ENDLESS_EVENT,
    /** Runs the request and omits the signature from the response. */
    OMITS_SIGNATURE,
    /** Resets connections older than 600 ms at their next request, without running it. */
    RESETS_REUSED_CONNECTIONS,
    /** Runs the request and never responds. */
    NEVER_RESPONDS,
    /** Neither runs nor responds to the request. */
    IGNORES_REQUESTS
  }

  private static final int MAX_BODY_BYTES = 1024 * 1024;
  private static final int EVENTS_PER_STREAM = 8;
  private static final long EVENT_INTERVAL_MILLIS = 5;
  private static final long MAX_NEW_CONNECTION_AGE_MILLIS = 600;
  private static final long STALL_MILLIS = 2500;
  private static final long TIME_TO_CRASH_MILLIS = 40;
  private static final int ENDLESS_CHUNK_BYTES = 64 * 1024;
  private static final int OK = 200;
  private static final int MISDIRECTED_REQUEST = 421;
  private static final int INTERNAL_SERVER_ERROR = 500;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final String ATTEMPT_ID = "Attempt-Id";

  private final String id;
  private final HttpServer server;
  private final ScheduledExecutorService timer =
      ControlExecutors.newSingleThreadExecutor("runner-timer");
  private final List<RunRecord> runs = new CopyOnWriteArrayList<>();
  private final AtomicLong endlessBytesSent = new AtomicLong();
  private final CountDownLatch crashed = new CountDownLatch(1);
  private volatile Behaviour behaviour = Behaviour.NORMAL;
  private volatile String crashingPart = "";

  /**
   * A request that was run.
   *
   * @param attemptId the attempt ID sent with it, or empty if none
   * @param method the HTTP method
   * @param target the path and query
   * @param fields the header fields
   * @param body the body
   */
  public record RunRecord(
      String attemptId, String method, String target, HeaderFields fields, String body) {}

  private RunnerStandin(String id, Endpoint endpoint) {
    this.id = id;
    this.server = HttpServer.start("runner", endpoint, MAX_BODY_BYTES, this::handle);
  }

  /**
   * Starts a stand-in.
   *
   * @param id the ID under which it registers
   * @param endpoint the address and port to listen on; port 0 selects a free port
   * @return the stand-in
   */
  public static RunnerStandin start(String id, Endpoint endpoint) {
    return new RunnerStandin(id, endpoint);
  }

  /**
   * Returns the address and port that it listens on.
   *
   * @return the endpoint with its actual port
   */
  public Endpoint endpoint() {
    return server.endpoint();
  }

  /**
   * Sets how requests are handled from now on.
   *
   * @param behaviour the new behaviour
   */
  public void setBehaviour(Behaviour behaviour) {
    this.behaviour = behaviour;
  }

  /**
   * Makes the stand-in crash as soon as it begins to respond to a request whose prompt has a part.
   *
   * @param partId the ID of the part
   */
  public void setCrashingPart(String partId) {
    crashingPart = partId;
  }

  /**
   * Returns whether the stand-in has crashed.
   *
   * @return whether it has
   */
  public boolean hasCrashed() {
    return crashed.getCount() == 0;
  }

  /**
   * Returns the requests that were run so far.
   *
   * @return the requests in order of arrival
   */
  public List<RunRecord> runs() {
    return List.copyOf(runs);
  }

  /**
   * Returns its registration, as written to the platform's store.
   *
   * @param service the service that it belongs to
   * @param state {@code ready} or {@code draining}
   * @return the registration
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
    if (current == Behaviour.RESETS_REUSED_CONNECTIONS && !hasNewConnection(exchange)) {
      exchange.abort();
      return;
    }
    String attemptId = Optional.ofNullable(exchange.header(ATTEMPT_ID)).orElse("");
    HeaderFields echo = HeaderFields.NONE.with(ATTEMPT_ID, attemptId);
    String expectedId = exchange.header("Target-Instance");
    if (expectedId != null && !expectedId.equals(id)) {
      exchange.respond(MISDIRECTED_REQUEST, echo.with("Instance-Id", id), new byte[0]);
      return;
    }
    if (current == Behaviour.DECLINES) {
      exchange.respond(SERVICE_UNAVAILABLE, echo.with("Not-Executed", "1"), new byte[0]);
      return;
    }
    runs.add(
        new RunRecord(
            attemptId,
            exchange.method(),
            exchange.pathAndQuery(),
            exchange.fields(),
            exchange.text()));
    if (hasCrashingPart(exchange)) {
      timer.schedule(() -> crash(exchange), TIME_TO_CRASH_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      run(exchange, current, attemptId);
    }
  }

  private boolean hasCrashingPart(ServerExchange exchange) {
    String parts = exchange.header("Prompt-Prefix");
    return parts != null
        && !crashingPart.isEmpty()
        && Arrays.asList(parts.split("[:,][0-9]*,?", -1)).contains(crashingPart);
  }

  /** Starts a stream, but no plain response, before all connections end. */
  private void crash(ServerExchange exchange) {
    if (exchange.header("Token-Count") != null) {
      exchange.start(OK, HeaderFields.NONE.with("Content-Type", "text/event-stream"), -1);
    }
    exchange.abort();
    crashed.countDown();
    server.close();
  }

  private static boolean hasNewConnection(ServerExchange exchange) {
    Arrival arrival = exchange.arrival();
    return arrival.readAt().minus(arrival.acceptedAt()).toMillis() < MAX_NEW_CONNECTION_AGE_MILLIS;
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
    boolean isFailedResumption =
        current == Behaviour.TRUNCATES_THEN_FAILS && exchange.header("Last-Event-Id") != null;
    if (current == Behaviour.FAILS || isFailedResumption) {
      exchange.respond(INTERNAL_SERVER_ERROR, fields, "failed".getBytes(StandardCharsets.UTF_8));
    } else if (exchange.header("Token-Count") != null
        && current != Behaviour.RESPONDS_WITHOUT_STREAM) {
      respondStream(exchange, fields, current);
    } else if (current == Behaviour.STALLS) {
      HeaderFields responseFields = fields;
      timer.schedule(
          () -> respondPlain(exchange, responseFields, false), STALL_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      respondPlain(exchange, fields, current == Behaviour.TRUNCATES_RESPONSE);
    }
  }

  private void respondPlain(ServerExchange exchange, HeaderFields fields, boolean isTruncated) {
    byte[] body = ("answer of " + id).getBytes(StandardCharsets.UTF_8);
    if (isTruncated) {
      exchange.start(OK, fields, body.length * 2L);
      exchange.write(body);
      timer.schedule(exchange::abort, EVENT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      exchange.respond(OK, fields, body);
    }
  }

  private void respondStream(ServerExchange exchange, HeaderFields fields, Behaviour current) {
    String lastEventId = exchange.header("Last-Event-Id");
    int firstNumber = lastEventId == null ? 1 : Integer.parseInt(lastEventId) + 1;
    exchange.start(OK, fields.with("Content-Type", "text/event-stream"), -1);
    if (current == Behaviour.SENDS_ENDLESS_EVENT) {
      AtomicBoolean disconnected = new AtomicBoolean();
      exchange.onDisconnect(() -> disconnected.set(true));
      sendEndlessEvent(exchange, disconnected);
    } else {
      sendEvent(exchange, firstNumber, current);
    }
  }

  private void sendEndlessEvent(ServerExchange exchange, AtomicBoolean disconnected) {
    if (disconnected.get()) {
      return;
    }
    exchange.write(new byte[ENDLESS_CHUNK_BYTES]);
    endlessBytesSent.addAndGet(ENDLESS_CHUNK_BYTES);
    timer.schedule(() -> sendEndlessEvent(exchange, disconnected), 1, TimeUnit.MILLISECONDS);
  }

  /**
   * Returns how many bytes of endless events were sent.
   *
   * @return the number of bytes
   */
  public long endlessBytesSent() {
    return endlessBytesSent.get();
  }

  private void sendEvent(ServerExchange exchange, int number, Behaviour current) {
    if (number > EVENTS_PER_STREAM) {
      exchange.end();
      return;
    }
    String event = "id: " + number + "\ndata: event " + number + "\n\n";
    boolean truncates =
        current == Behaviour.TRUNCATES_RESPONSE || current == Behaviour.TRUNCATES_THEN_FAILS;
    if (truncates && number == EVENTS_PER_STREAM / 2) {
      String half = event.substring(0, event.length() / 2);
      exchange.write(half.getBytes(StandardCharsets.UTF_8));
      timer.schedule(exchange::abort, EVENT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    exchange.write(event.getBytes(StandardCharsets.UTF_8));
    boolean stalls = current == Behaviour.STALLS && number == EVENTS_PER_STREAM / 2;
    timer.schedule(
        () -> sendEvent(exchange, number + 1, current),
        stalls ? STALL_MILLIS : EVENT_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    timer.shutdownNow();
    server.close();
  }
}
