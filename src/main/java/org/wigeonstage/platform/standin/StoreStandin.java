package org.wigeonstage.platform.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ControlExecutors;
import org.wigeonstage.common.Json;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpServer;
import org.wigeonstage.http.ServerExchange;

/**
 * Stands in for the platform's store: objects by kind and name with one revision counter, lists in
 * pages, watches, conditional writes.
 *
 * <p>It keeps objects in memory and has no finalizers and no rate limits. It can refuse all calls,
 * do writes without answering them, forget its history and cut watches.
 */
public final class StoreStandin implements Closeable {

  private static final String PATH = "/wigeonstage/objects/";
  private static final String JSON = "application/json";
  private static final int MAX_BODY_BYTES = 1024 * 1024;
  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int GONE = 410;
  private static final int UNAVAILABLE = 503;

  private final Map<String, TreeMap<String, ObjectNode>> kinds = new TreeMap<>();
  private final AtomicLong calls = new AtomicLong();
  private final HttpServer server;
  private final ScheduledExecutorService timer =
      ControlExecutors.newSingleThreadExecutor("store-timer");
  private final List<Change> history = new ArrayList<>();
  private final List<Waiter> waiters = new ArrayList<>();
  private long revision = 1;
  private long forgottenUpTo;
  private boolean holdsBackEvents;
  private int pageSize = 50;
  private volatile boolean isDown;
  private volatile boolean losesAnswers;

  /** What a watch tells. */
  private record Change(long revision, String kind, ObjectNode object, boolean isDeleted) {}

  /** A watch that waits. */
  private record Waiter(ServerExchange exchange, String kind, long since) {}

  private StoreStandin(Endpoint listen) {
    this.server = HttpServer.start("store", listen, MAX_BODY_BYTES, this::handle);
  }

  /**
   * Starts a stand-in.
   *
   * @param listen where to listen
   * @return the stand-in
   */
  public static StoreStandin start(Endpoint listen) {
    return new StoreStandin(listen);
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
   * Sets whether all calls are refused.
   *
   * @param down whether the store is down
   */
  public void setUnavailable(boolean down) {
    isDown = down;
  }

  /**
   * Sets whether writes are done and not answered.
   *
   * @param lose whether answers are lost
   */
  public void loseAnswers(boolean lose) {
    losesAnswers = lose;
  }

  /**
   * Sets how many objects a page of a list has.
   *
   * @param size the number of objects
   */
  public synchronized void pageSize(int size) {
    pageSize = size;
  }

  /**
   * Returns the number of calls so far.
   *
   * @return the number
   */
  public long calls() {
    return calls.get();
  }

  /**
   * Writes an object as the operator or a runner does.
   *
   * @param kind the kind
   * @param name the name
   * @param spec the content
   * @return the store's revision
   */
  public synchronized long write(String kind, String name, JsonNode spec) {
    store(kind, name, spec);
    return revision;
  }

  private ObjectNode store(String kind, String name, JsonNode spec) {
    revision++;
    ObjectNode object = JsonNodeFactory.instance.objectNode();
    object.putObject("metadata").put("name", name).put("revision", revision);
    object.set("spec", spec);
    objects(kind).put(name, object);
    happened(kind, object, false);
    return object;
  }

  /**
   * Removes an object.
   *
   * @param kind the kind
   * @param name the name
   */
  public synchronized void remove(String kind, String name) {
    revision++;
    ObjectNode removed = objects(kind).remove(name);
    if (removed != null) {
      happened(kind, removed, true);
    }
  }

  private TreeMap<String, ObjectNode> objects(String kind) {
    return kinds.computeIfAbsent(kind, key -> new TreeMap<>());
  }

  private void handle(ServerExchange exchange) {
    calls.incrementAndGet();
    if (isDown || !exchange.path().startsWith(PATH)) {
      answer(exchange, isDown ? UNAVAILABLE : NOT_FOUND, JsonNodeFactory.instance.objectNode());
      return;
    }
    String[] parts = exchange.path().substring(PATH.length()).split("/", -1);
    synchronized (this) {
      switch (exchange.method()) {
        case "POST" -> create(exchange, parts[0]);
        case "PUT" -> replace(exchange, parts[0], parts[1]);
        default -> read(exchange, parts);
      }
    }
  }

  private void read(ServerExchange exchange, String[] parts) {
    String watched = exchange.parameter("watch_rev");
    if (parts.length == 1 && watched != null) {
      watch(exchange, parts[0], Long.parseLong(watched));
      return;
    }
    if (parts.length == 1) {
      answer(exchange, OK, page(parts[0], exchange.parameter("after")));
      return;
    }
    ObjectNode object = objects(parts[0]).get(parts[1]);
    if (object == null) {
      answer(exchange, NOT_FOUND, JsonNodeFactory.instance.objectNode());
    } else {
      answer(exchange, OK, object);
    }
  }

  private void watch(ServerExchange exchange, String kind, long since) {
    if (since < forgottenUpTo) {
      answer(exchange, GONE, JsonNodeFactory.instance.objectNode());
      return;
    }
    Waiter waiter = new Waiter(exchange, kind, since);
    if (!holdsBackEvents && happenedSince(waiter)) {
      answerWatch(waiter);
      return;
    }
    waiters.add(waiter);
    long wait = Long.parseLong(String.valueOf(exchange.parameter("wait_ms")));
    timer.schedule(() -> giveUp(waiter), wait, TimeUnit.MILLISECONDS);
  }

  private synchronized void giveUp(Waiter waiter) {
    if (waiters.remove(waiter)) {
      answerWatch(waiter);
    }
  }

  private boolean happenedSince(Waiter waiter) {
    return history.stream()
        .anyMatch(
            change -> change.kind().equals(waiter.kind()) && change.revision() > waiter.since());
  }

  private void answerWatch(Waiter waiter) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    ArrayNode events = body.putArray("events");
    history.stream()
        .filter(change -> !holdsBackEvents)
        .filter(change -> change.kind().equals(waiter.kind()) && change.revision() > waiter.since())
        .forEach(
            change ->
                events
                    .addObject()
                    .put("deleted", change.isDeleted())
                    .set("resource_object", change.object()));
    answer(waiter.exchange(), OK, body.put("at", revision));
  }

  private void happened(String kind, ObjectNode object, boolean isDeleted) {
    history.add(new Change(revision, kind, object, isDeleted));
    if (holdsBackEvents) {
      return;
    }
    List<Waiter> waiting = waiters.stream().filter(waiter -> waiter.kind().equals(kind)).toList();
    waiters.removeAll(waiting);
    waiting.forEach(this::answerWatch);
  }

  /** Forgets what happened so far; watches from before that are refused. */
  public synchronized void forgetHistory() {
    history.clear();
    forgottenUpTo = revision;
  }

  /**
   * Sets whether watches hear nothing of changes.
   *
   * @param hold whether events are held back
   */
  public synchronized void holdBackEvents(boolean hold) {
    holdsBackEvents = hold;
  }

  /** Closes the connections of the watches that wait. */
  public synchronized void abortWatches() {
    waiters.forEach(waiter -> waiter.exchange().abort());
    waiters.clear();
  }

  /**
   * Returns the number of watches that wait.
   *
   * @return the number
   */
  public synchronized int watches() {
    return waiters.size();
  }

  private ObjectNode page(String kind, @Nullable String after) {
    ObjectNode page = JsonNodeFactory.instance.objectNode();
    ArrayNode entries = page.putArray("entries");
    var rest = after == null ? objects(kind) : objects(kind).tailMap(after, false);
    rest.values().stream().limit(pageSize).forEach(entries::add);
    return page.put("has_more", rest.size() > pageSize).put("at", revision);
  }

  private void create(ServerExchange exchange, String kind) {
    JsonNode given = Json.parse(exchange.text());
    String name = given.path("metadata").path("name").asText();
    ObjectNode existing = objects(kind).get(name);
    if (existing != null) {
      answer(exchange, CONFLICT, existing);
      return;
    }
    answer(exchange, CREATED, store(kind, name, given.path("spec")));
  }

  private void replace(ServerExchange exchange, String kind, String name) {
    ObjectNode existing = objects(kind).get(name);
    JsonNode given = Json.parse(exchange.text());
    JsonNode expected = given.path("metadata").path("revision");
    if (existing == null) {
      answer(exchange, NOT_FOUND, JsonNodeFactory.instance.objectNode());
    } else if (expected.isNumber()
        && expected.asLong() != existing.path("metadata").path("revision").asLong()) {
      answer(exchange, CONFLICT, existing);
    } else {
      answer(exchange, OK, store(kind, name, given.path("spec")));
    }
  }

  private void answer(ServerExchange exchange, int status, JsonNode body) {
    if (losesAnswers && !exchange.method().equals("GET")) {
      exchange.abort();
    } else {
      exchange.respond(status, JSON, body.toString());
    }
  }

  @Override
  public void close() {
    server.close();
    timer.shutdownNow();
  }
}
