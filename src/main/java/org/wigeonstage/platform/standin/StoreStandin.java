package org.wigeonstage.platform.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import java.io.Closeable;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
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
 * A stand-in for the platform's store: objects by kind and name with one revision counter, paged
 * lists, watches, conditional writes and a status that the system writes.
 *
 * <p>It keeps objects in memory and has neither finalizers nor rate limits. It can simulate faults:
 * refuse all calls, perform writes without responding, drop its history, abort watches, and be
 * restored from a copy. From its first restore, it states its era in all responses.
 */
public final class StoreStandin implements Closeable {

  private static final String OBJECTS_PATH = "/wigeonstage/objects/";
  private static final String JSON = "application/json";
  private static final String STATUS = "status";
  private static final String ERA_FIELD = "Store-Era";
  private static final int MAX_BODY_BYTES = 1024 * 1024;
  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int GONE = 410;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final Map<String, TreeMap<String, ObjectNode>> kinds = new TreeMap<>();
  private final AtomicLong calls = new AtomicLong();
  private final Map<String, Long> callsByKind = new ConcurrentHashMap<>();
  private final Map<String, Integer> listsByKind = new ConcurrentHashMap<>();
  private final HttpServer server;
  private final ScheduledExecutorService timer =
      ControlExecutors.newSingleThreadExecutor("store-timer");
  private final List<Change> history = new ArrayList<>();
  private final List<String> statusWrites = new ArrayList<>();
  private final List<Watch> pendingWatches = new ArrayList<>();
  private long revision = 1;
  private long historyStart;
  private long era;
  private volatile @Nullable String statedEra;
  private boolean withholdsEvents;
  private int pageSize = 50;
  private volatile boolean isUnavailable;
  private volatile boolean losesResponses;

  /** A change that watches report. */
  private record Change(long revision, String kind, ObjectNode object, boolean isDeleted) {}

  /** The objects and the revision at one time. */
  public static final class Copy {
    private final Map<String, TreeMap<String, ObjectNode>> kinds = new TreeMap<>();
    private final List<Change> history;
    private final long revision;

    private Copy(StoreStandin store) {
      store.kinds.forEach((kind, objects) -> kinds.put(kind, copyOf(objects)));
      history = List.copyOf(store.history);
      revision = store.revision;
    }
  }

  /** A watch that waits for changes after a revision. */
  private record Watch(ServerExchange exchange, String kind, long sinceRevision) {}

  private StoreStandin(Endpoint endpoint) {
    this.server = HttpServer.start("store", endpoint, MAX_BODY_BYTES, this::handle);
  }

  /**
   * Starts a stand-in.
   *
   * @param endpoint the address and port to listen on; port 0 selects a free port
   * @return the stand-in
   */
  public static StoreStandin start(Endpoint endpoint) {
    return new StoreStandin(endpoint);
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
   * Sets whether all calls are refused.
   *
   * @param unavailable whether to refuse all calls
   */
  public void setUnavailable(boolean unavailable) {
    isUnavailable = unavailable;
  }

  /**
   * Sets whether writes are performed without a response.
   *
   * @param loses whether responses to writes are lost
   */
  public void setLosesResponses(boolean loses) {
    losesResponses = loses;
  }

  /**
   * Sets the maximum number of objects per page of a list.
   *
   * @param size the number of objects
   */
  public synchronized void setPageSize(int size) {
    pageSize = size;
  }

  /**
   * Returns the number of calls received so far.
   *
   * @return the number
   */
  public long callCount() {
    return calls.get();
  }

  /**
   * Returns the number of calls about objects of a kind, without those that were refused.
   *
   * @param kind the kind
   * @return the number
   */
  public long callsOf(String kind) {
    return callsByKind.getOrDefault(kind, 0L);
  }

  /**
   * Writes an object, as the operator or a backend server does.
   *
   * @param kind the kind
   * @param name the name
   * @param spec the content
   * @return the store's revision after the write
   */
  public synchronized long write(String kind, String name, JsonNode spec) {
    store(kind, name, spec);
    return revision;
  }

  /**
   * Writes an object whose content is any text, as another writer may do.
   *
   * @param kind the kind
   * @param name the name
   * @param spec the content, which is sent as it is
   * @return the store's revision after the write
   */
  public long writeRaw(String kind, String name, String spec) {
    return write(kind, name, JsonNodeFactory.instance.rawValueNode(new RawValue(spec)));
  }

  /**
   * Returns a copy from which the store can be restored.
   *
   * @return the copy
   */
  public synchronized Copy copy() {
    return new Copy(this);
  }

  /**
   * Restores a copy: writes since then are lost, and their revisions are assigned again. Pending
   * watches end as if they had been sent to the restored store.
   *
   * @param copy the copy
   */
  public synchronized void restore(Copy copy) {
    kinds.clear();
    copy.kinds.forEach((kind, objects) -> kinds.put(kind, copyOf(objects)));
    history.clear();
    history.addAll(copy.history);
    revision = copy.revision;
    historyStart = Math.min(historyStart, revision);
    era++;
    statedEra = Long.toString(era);
    List<Watch> lost =
        pendingWatches.stream().filter(watch -> watch.sinceRevision() > revision).toList();
    pendingWatches.removeAll(lost);
    lost.forEach(watch -> respond(watch.exchange(), GONE, JsonNodeFactory.instance.objectNode()));
  }

  private static TreeMap<String, ObjectNode> copyOf(Map<String, ObjectNode> objects) {
    TreeMap<String, ObjectNode> copy = new TreeMap<>();
    objects.forEach((name, object) -> copy.put(name, object.deepCopy()));
    return copy;
  }

  /**
   * Sets the era that is stated in responses, until the next restore.
   *
   * @param value the value of the header field, which may be malformed, or null for none
   */
  public void setStatedEra(@Nullable String value) {
    statedEra = value;
  }

  /**
   * Returns how many lists of a kind were requested.
   *
   * @param kind the kind
   * @return the number of requests for a first page
   */
  public int listCount(String kind) {
    return listsByKind.getOrDefault(kind, 0);
  }

  private ObjectNode store(String kind, String name, JsonNode spec) {
    revision++;
    ObjectNode object = JsonNodeFactory.instance.objectNode();
    object.putObject("metadata").put("name", name).put("revision", revision);
    object.set("spec", spec);
    ObjectNode previous = objects(kind).put(name, object);
    if (previous != null && previous.has(STATUS)) {
      object.set(STATUS, previous.get(STATUS));
    }
    recordChange(kind, object, false);
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
      recordChange(kind, removed, true);
    }
  }

  private TreeMap<String, ObjectNode> objects(String kind) {
    return kinds.computeIfAbsent(kind, key -> new TreeMap<>());
  }

  private void handle(ServerExchange exchange) {
    calls.incrementAndGet();
    if (isUnavailable || !exchange.path().startsWith(OBJECTS_PATH)) {
      respond(
          exchange,
          isUnavailable ? SERVICE_UNAVAILABLE : NOT_FOUND,
          JsonNodeFactory.instance.objectNode());
      return;
    }
    String[] parts = exchange.path().substring(OBJECTS_PATH.length()).split("/", -1);
    callsByKind.merge(parts[0], 1L, Long::sum);
    synchronized (this) {
      switch (exchange.method()) {
        case "POST" -> create(exchange, parts[0]);
        case "PUT" -> {
          if (parts.length == 3 && parts[2].equals(STATUS)) {
            replaceStatus(exchange, parts[0], parts[1]);
          } else {
            replace(exchange, parts[0], parts[1]);
          }
        }
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
      String after = exchange.parameter("after");
      if (after == null) {
        listsByKind.merge(parts[0], 1, Integer::sum);
      }
      respond(exchange, OK, page(parts[0], after));
      return;
    }
    ObjectNode object = objects(parts[0]).get(parts[1]);
    if (object == null) {
      respond(exchange, NOT_FOUND, JsonNodeFactory.instance.objectNode());
    } else {
      respond(exchange, OK, object);
    }
  }

  private void watch(ServerExchange exchange, String kind, long sinceRevision) {
    if (sinceRevision < historyStart || sinceRevision > revision) {
      respond(exchange, GONE, JsonNodeFactory.instance.objectNode());
      return;
    }
    Watch watch = new Watch(exchange, kind, sinceRevision);
    if (!withholdsEvents && hasChangesFor(watch)) {
      respondToWatch(watch);
      return;
    }
    pendingWatches.add(watch);
    long wait = Long.parseLong(String.valueOf(exchange.parameter("wait_ms")));
    timer.schedule(() -> expire(watch), wait, TimeUnit.MILLISECONDS);
  }

  private synchronized void expire(Watch watch) {
    if (pendingWatches.remove(watch)) {
      respondToWatch(watch);
    }
  }

  private boolean hasChangesFor(Watch watch) {
    return history.stream()
        .anyMatch(
            change ->
                change.kind().equals(watch.kind()) && change.revision() > watch.sinceRevision());
  }

  private void respondToWatch(Watch watch) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    ArrayNode events = body.putArray("events");
    history.stream()
        .filter(change -> !withholdsEvents)
        .filter(
            change ->
                change.kind().equals(watch.kind()) && change.revision() > watch.sinceRevision())
        .forEach(
            change ->
                events
                    .addObject()
                    .put("deleted", change.isDeleted())
                    .set("resource_object", change.object()));
    respond(watch.exchange(), OK, body.put("at", revision));
  }

  private void recordChange(String kind, ObjectNode object, boolean isDeleted) {
    history.add(new Change(revision, kind, object, isDeleted));
    if (withholdsEvents) {
      return;
    }
    List<Watch> waiting =
        pendingWatches.stream().filter(watch -> watch.kind().equals(kind)).toList();
    pendingWatches.removeAll(waiting);
    waiting.forEach(this::respondToWatch);
  }

  /** Drops the history of changes. Watches from an earlier revision are then refused. */
  public synchronized void dropHistory() {
    history.clear();
    historyStart = revision;
  }

  /**
   * Sets whether changes are withheld from watches.
   *
   * @param withholds whether to withhold events
   */
  public synchronized void setWithholdsEvents(boolean withholds) {
    withholdsEvents = withholds;
  }

  /** Aborts the connections of the pending watches. */
  public synchronized void abortWatches() {
    pendingWatches.forEach(watch -> watch.exchange().abort());
    pendingWatches.clear();
  }

  /**
   * Returns the number of pending watches.
   *
   * @return the number
   */
  public synchronized int watchCount() {
    return pendingWatches.size();
  }

  private ObjectNode page(String kind, @Nullable String after) {
    ObjectNode page = JsonNodeFactory.instance.objectNode();
    ArrayNode entries = page.putArray("entries");
    var remaining = after == null ? objects(kind) : objects(kind).tailMap(after, false);
    remaining.values().stream().limit(pageSize).forEach(entries::add);
    return page.put("has_more", remaining.size() > pageSize).put("at", revision);
  }

  private void create(ServerExchange exchange, String kind) {
    JsonNode submitted = Json.parse(exchange.text());
    String name = submitted.path("metadata").path("name").asText();
    ObjectNode existing = objects(kind).get(name);
    if (existing != null) {
      respond(exchange, CONFLICT, existing);
      return;
    }
    respond(exchange, CREATED, store(kind, name, submitted.path("spec")));
  }

  private void replace(ServerExchange exchange, String kind, String name) {
    ObjectNode existing = objects(kind).get(name);
    JsonNode submitted = Json.parse(exchange.text());
    JsonNode expected = submitted.path("metadata").path("revision");
    if (existing == null) {
      respond(exchange, NOT_FOUND, JsonNodeFactory.instance.objectNode());
    } else if (expected.isNumber()
        && expected.asLong() != existing.path("metadata").path("revision").asLong()) {
      respond(exchange, CONFLICT, existing);
    } else {
      respond(exchange, OK, store(kind, name, submitted.path("spec")));
    }
  }

  /** Replaces the status of an object that has the submitted revision. */
  private void replaceStatus(ServerExchange exchange, String kind, String name) {
    ObjectNode existing = objects(kind).get(name);
    JsonNode submitted = Json.parse(exchange.text());
    if (existing == null) {
      respond(exchange, NOT_FOUND, JsonNodeFactory.instance.objectNode());
      return;
    }
    JsonNode metadata = existing.path("metadata");
    JsonNode expected = submitted.path("metadata").path("revision");
    if (!expected.isNumber() || expected.asLong() != metadata.path("revision").asLong()) {
      respond(exchange, CONFLICT, existing);
      return;
    }
    statusWrites.add(submitted.path(STATUS).path("state").asText());
    existing.set(STATUS, submitted.path(STATUS));
    respond(exchange, OK, store(kind, name, existing.path("spec")));
  }

  /**
   * Returns the states of the status writes that took effect.
   *
   * @return the states in the order of the writes
   */
  public synchronized List<String> statusWrites() {
    return List.copyOf(statusWrites);
  }

  private void respond(ServerExchange exchange, int status, JsonNode body) {
    if (losesResponses && !exchange.method().equals("GET")) {
      exchange.abort();
    } else {
      String value = statedEra;
      exchange.respond(
          status,
          JSON,
          value == null ? Map.of() : Map.of(ERA_FIELD, value),
          body.toString().getBytes(StandardCharsets.UTF_8));
    }
  }

  @Override
  public void close() {
    server.close();
    timer.shutdownNow();
  }
}
