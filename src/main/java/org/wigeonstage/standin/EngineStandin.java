package org.wigeonstage.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.Json;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpServer;
import org.wigeonstage.http.ProblemDetails;
import org.wigeonstage.http.ServerExchange;

/**
 * A stand-in for a model engine with continuous batching.
 *
 * <p>Each step generates one token for every request whose prompt has been processed, and uses the
 * remaining tokens of the step for prompts, in the order of arrival. A step takes a fixed time. The
 * prefix cache holds a fixed number of prompt blocks. Streams can be resumed by identifier and
 * offset, and cancelled. Orders load and unload models; each has a fencing number, and one with a
 * lower number than an earlier order is rejected or, if so configured, carried out. Sampling,
 * adapters and export of the cache are not simulated. The reported number of running requests is
 * out of date by up to {@value #STEPS_PER_RUNNING_REPORT} steps.
 */
public final class EngineStandin implements Closeable {

  private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final int DEFAULT_MAX_TOKENS = 16;
  private static final int OK = 200;

  /** Above this number, ended streams are removed and can no longer be resumed. */
  private static final int MAX_KEPT_STREAMS = 2000;

  /** The number of steps between two updates of the reported number of running requests. */
  private static final int STEPS_PER_RUNNING_REPORT = 25;

  private static final String JSON = "application/json";
  private static final String STREAMS = "/v1/streams/";

  private final EngineSpeed speed;
  private final boolean checksFencing;
  private final CacheEvents cacheEvents = new CacheEvents(InstantSource.system());
  private final PrefixCache cache;
  private final ConcurrentLinkedQueue<EngineStream> arrivals = new ConcurrentLinkedQueue<>();
  private final Map<String, EngineStream> streams = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> dispatches = new ConcurrentHashMap<>();
  private final List<EngineStream> batch = new ArrayList<>();
  private final AtomicLong prefillComputed = new AtomicLong();
  private final AtomicLong prefillSaved = new AtomicLong();
  private final AtomicLong generated = new AtomicLong();
  private final AtomicLong staleOrders = new AtomicLong();
  private final Set<String> loadedTargets = ConcurrentHashMap.newKeySet();
  private final HttpServer server;
  private final Thread stepThread;
  private long highestFencingNumber;
  private volatile int slowdown = 1;
  private volatile int reportedRunning;
  private int stepCount;
  private volatile boolean closed;

  private EngineStandin(Endpoint endpoint, EngineSpeed speed, boolean checksFencing) {
    this.speed = speed;
    this.checksFencing = checksFencing;
    this.cache = new PrefixCache(speed.cacheBlocks(), cacheEvents::add);
    this.stepThread = new Thread(this::runSteps, "engine");
    this.server = HttpServer.start("engine", endpoint, MAX_BODY_BYTES, this::handle);
  }

  /**
   * Starts a stand-in.
   *
   * @param endpoint where to listen
   * @param speed the speed and cache size
   * @param checksFencing whether orders with an old fencing number are rejected
   * @return the stand-in
   */
  public static EngineStandin start(Endpoint endpoint, EngineSpeed speed, boolean checksFencing) {
    EngineStandin engine = new EngineStandin(endpoint, speed, checksFencing);
    engine.stepThread.setDaemon(true);
    engine.stepThread.start();
    return engine;
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
   * Makes each step take several times as long.
   *
   * @param factor 1 for the usual speed
   */
  public void slowdown(int factor) {
    slowdown = factor;
  }

  /** Breaks the connections of the readers of all streams; the streams can be resumed. */
  public void dropReaders() {
    streams.values().forEach(EngineStream::dropReader);
  }

  /**
   * Returns how many prompt tokens were processed.
   *
   * @return the number of tokens, without those found in the cache
   */
  public long prefillComputed() {
    return prefillComputed.get();
  }

  /**
   * Returns how many prompt tokens were found in the cache.
   *
   * @return the number of tokens
   */
  public long prefillSaved() {
    return prefillSaved.get();
  }

  /**
   * Returns how many tokens were generated.
   *
   * @return the number of tokens
   */
  public long generated() {
    return generated.get();
  }

  /**
   * Returns how many orders with an old fencing number were carried out.
   *
   * @return the number
   */
  public long staleOrders() {
    return staleOrders.get();
  }

  /**
   * Returns how often each request identifier was received.
   *
   * @return counts by identifier
   */
  public Map<String, Integer> dispatches() {
    Map<String, Integer> copy = new ConcurrentHashMap<>();
    dispatches.forEach((id, count) -> copy.put(id, count.get()));
    return copy;
  }

  private void handle(ServerExchange exchange) {
    String path = exchange.path();
    if (path.startsWith("/v1/chat/completions") || path.startsWith("/v1/completions")) {
      startCompletion(exchange);
    } else if (path.startsWith(STREAMS)) {
      resumeOrCancel(exchange, path.substring(STREAMS.length()));
    } else if (path.equals("/v1/load")) {
      exchange.respond(OK, JSON, describeLoad().toString());
    } else if (path.equals("/v1/cache-events")) {
      String after = Objects.requireNonNullElse(exchange.parameter("after"), "0");
      exchange.respond(OK, JSON, Json.write(cacheEvents.after(Long.parseLong(after))));
    } else if (path.equals("/v1/orders")) {
      executeOrder(exchange);
    } else if (path.equals("/standin/drop-readers")) {
      dropReaders();
      exchange.respond(OK, JSON, "{}");
    } else if (path.equals("/standin/slowdown")) {
      slowdown(Integer.parseInt(exchange.text()));
      exchange.respond(OK, JSON, "{}");
    } else {
      ProblemDetails.respond(
          exchange, ErrorCode.NOT_FOUND, "there is no resource at " + path, Map.of());
    }
  }

  private ObjectNode describeLoad() {
    return JsonNodeFactory.instance
        .objectNode()
        .put("running", reportedRunning)
        .put("received", dispatches.size())
        .put("prefillComputed", prefillComputed())
        .put("prefillSaved", prefillSaved())
        .put("generated", generated())
        .set("loaded", Json.toTree(loadedTargets));
  }

  private void startCompletion(ServerExchange exchange) {
    JsonNode body = Json.parse(exchange.text());
    String id = Objects.requireNonNullElse(exchange.header("X-Request-Id"), "anonymous");
    dispatches.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
    EngineStream stream =
        new EngineStream(
            id,
            promptOf(body),
            body.path("max_tokens").asInt(DEFAULT_MAX_TOKENS),
            body.path("stream").asBoolean());
    if (streams.size() > MAX_KEPT_STREAMS) {
      streams.values().removeIf(EngineStream::isEnded);
    }
    streams.put(id, stream);
    exchange.start(OK, stream.isStreaming() ? "text/event-stream" : JSON, Map.of());
    stream.attach(exchange, 0);
    arrivals.add(stream);
  }

  private static String promptOf(JsonNode body) {
    StringBuilder prompt = new StringBuilder(body.path("prompt").asText(""));
    for (JsonNode message : body.path("messages")) {
      prompt.append(message.path("content").asText(""));
    }
    return prompt.toString();
  }

  private void resumeOrCancel(ServerExchange exchange, String id) {
    EngineStream stream = streams.get(id);
    if (stream == null) {
      ProblemDetails.respond(
          exchange, ErrorCode.NOT_FOUND, "there is no stream with the identifier " + id, Map.of());
    } else if (exchange.method().equals("DELETE")) {
      stream.cancel();
      exchange.respond(OK, JSON, "{}");
    } else {
      String offset = Objects.requireNonNullElse(exchange.parameter("offset"), "0");
      exchange.start(OK, stream.isStreaming() ? "text/event-stream" : JSON, Map.of());
      stream.attach(exchange, Long.parseLong(offset));
    }
  }

  private synchronized void executeOrder(ServerExchange exchange) {
    JsonNode body = Json.parse(exchange.text());
    long number = body.path("fencingNumber").asLong();
    boolean stale = number < highestFencingNumber;
    if (stale && checksFencing) {
      ProblemDetails.respond(
          exchange,
          ErrorCode.STALE_INCARNATION,
          "an order with a higher fencing number was already received; this one has " + number,
          Map.of());
      return;
    }
    if (stale) {
      staleOrders.incrementAndGet();
    }
    highestFencingNumber = Math.max(highestFencingNumber, number);
    String target = body.path("target").asText();
    if (body.path("action").asText().equals("unload")) {
      loadedTargets.remove(target);
    } else {
      loadedTargets.add(target);
    }
    exchange.respond(OK, JSON, "{}");
  }

  private void runSteps() {
    while (!closed) {
      try {
        Thread.sleep(speed.step().toMillis() * slowdown);
      } catch (InterruptedException e) {
        return;
      }
      step();
    }
  }

  private void step() {
    for (EngineStream next = arrivals.poll(); next != null; next = arrivals.poll()) {
      int saved = cache.storePrompt(next.prompt());
      prefillSaved.addAndGet(saved);
      next.startPrefill(next.promptTokens() - saved);
      batch.add(next);
    }
    int budget = speed.tokensPerStep();
    for (EngineStream stream : batch) {
      if (stream.isPrefilled() && budget > 0 && !stream.isStalled()) {
        generateToken(stream);
        budget--;
      }
    }
    for (EngineStream stream : batch) {
      int done = stream.prefill(budget);
      prefillComputed.addAndGet(done);
      budget -= done;
    }
    batch.removeIf(EngineStream::isEnded);
    stepCount++;
    if (stepCount % STEPS_PER_RUNNING_REPORT == 0) {
      reportedRunning = batch.size();
    }
  }

  private void generateToken(EngineStream stream) {
    if (stream.isCancelled()) {
      return;
    }
    if (!stream.isGenerationComplete()) {
      int index = stream.addToken();
      generated.incrementAndGet();
      if (stream.isStreaming()) {
        stream.append(
            EngineResponses.event(
                stream.id(), "standin", EngineResponses.word(stream.prompt(), index)));
      }
    }
    if (stream.isGenerationComplete()) {
      byte[] last =
          stream.isStreaming()
              ? EngineResponses.lastEvent()
              : EngineResponses.response(
                  stream.id(),
                  "standin",
                  stream.prompt(),
                  stream.promptTokens(),
                  stream.generated());
      stream.append(last);
      stream.end();
    }
  }

  @Override
  public void close() {
    closed = true;
    stepThread.interrupt();
    server.close();
  }
}
