package org.wigeonstage.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.Json;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.http.BlockingCall;
import org.wigeonstage.http.CallFailedException;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.http.HttpResponse;
import org.wigeonstage.request.HttpCall;
import org.wigeonstage.store.StoreException;

/** Calls to the platform's store, each on a connection of its own. */
final class PlatformObjects {

  /** The store answers in milliseconds; while it is slow it takes some hundred. */
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(1500);

  /**
   * A watch that is not answered so long after its end is taken as lost. Together with the time for
   * which it waits, this is less than the time in which a leaving server must be known.
   */
  private static final Duration WATCH_MARGIN = Duration.ofMillis(600);

  private static final String PATH = "/wigeonstage/objects/";
  private static final String JSON = "application/json";
  private static final byte[] NO_BODY = {};
  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int CONFLICT = 409;
  private static final int GONE = 410;
  private static final int SERVER_ERROR = 500;

  private final HttpClient client;
  private final Endpoint store;

  PlatformObjects(HttpClient client, Endpoint store) {
    this.client = client;
    this.store = store;
  }

  /** All objects of a kind at one revision. */
  record Listing(long revision, List<JsonNode> objects) {}

  /** Reads all pages of a kind. The revision is that of the first page, which is the oldest. */
  Listing list(String kind) {
    List<JsonNode> objects = new ArrayList<>();
    String after = "";
    long revision = -1;
    boolean hasMore = true;
    while (hasMore) {
      JsonNode page = bodyOf(call("GET", kind + after, NO_BODY), OK);
      page.path("entries").forEach(objects::add);
      revision = revision < 0 ? page.path("at").asLong() : revision;
      hasMore = page.path("has_more").asBoolean() && !objects.isEmpty();
      if (hasMore) {
        after = "?after=" + nameOf(objects.get(objects.size() - 1));
      }
    }
    return new Listing(revision, objects);
  }

  /** What happened to the objects of a kind, in order, up to a revision. */
  record Changes(long revision, List<JsonNode> events) {}

  /**
   * Waits for changes after a revision; there are none where the time is up first. Empty where the
   * store has forgotten what happened since.
   */
  Optional<Changes> watch(String kind, long revision, Duration patience) {
    String path = kind + "?watch_rev=" + revision + "&wait_ms=" + patience.toMillis();
    HttpResponse answer = call("GET", path, NO_BODY, patience.plus(WATCH_MARGIN));
    if (answer.status() == GONE) {
      return Optional.empty();
    }
    JsonNode body = bodyOf(answer, OK);
    List<JsonNode> events = new ArrayList<>();
    body.path("events").forEach(events::add);
    return Optional.of(new Changes(body.path("at").asLong(), events));
  }

  /** Creates an object, or replaces the one that is there. */
  void put(String kind, String name, JsonNode object) {
    byte[] body = Json.write(object).getBytes(StandardCharsets.UTF_8);
    HttpResponse created = call("POST", kind, body);
    if (created.status() == CONFLICT) {
      bodyOf(call("PUT", kind + "/" + name, body), OK);
    } else {
      bodyOf(created, CREATED);
    }
  }

  static String nameOf(JsonNode object) {
    return object.path("metadata").path("name").asText();
  }

  private HttpResponse call(String method, String path, byte[] body) {
    return call(method, path, body, CALL_TIMEOUT);
  }

  private HttpResponse call(String method, String path, byte[] body, Duration timeout) {
    HttpCall call = new HttpCall(method, PATH + path, body.length > 0 ? JSON : null, body);
    try {
      return BlockingCall.execute(client, store, call, Map.of(), timeout);
    } catch (CallFailedException e) {
      ErrorCode code =
          body.length > 0 && e.mayHaveBeenSent()
              ? ErrorCode.WRITE_UNDECIDED
              : ErrorCode.STORE_UNAVAILABLE;
      throw new StoreException(code, method + " " + path + " failed: " + e.getMessage(), e);
    }
  }

  private static JsonNode bodyOf(HttpResponse answer, int expected) {
    boolean isExpected = answer.status() == expected || answer.status() == OK;
    if (!isExpected) {
      ErrorCode code =
          answer.status() >= SERVER_ERROR || answer.status() == 429
              ? ErrorCode.STORE_UNAVAILABLE
              : ErrorCode.BAD_REQUEST;
      throw new StoreException(code, "the store answered " + answer.status(), null);
    }
    try {
      return Json.parse(answer.text());
    } catch (WigeonstageException e) {
      throw new StoreException(ErrorCode.STORE_UNAVAILABLE, "the store's answer is no JSON", e);
    }
  }
}
