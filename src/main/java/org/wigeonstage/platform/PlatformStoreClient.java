package org.wigeonstage.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.Json;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.fleet.StoreEra;
import org.wigeonstage.fleet.StoreVersion;
import org.wigeonstage.http.BlockingCall;
import org.wigeonstage.http.CallFailedException;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.http.HttpResponse;
import org.wigeonstage.request.HttpCall;
import org.wigeonstage.store.StoreException;

/** Calls the platform's store, using a separate connection for each call. */
final class PlatformStoreClient {

  /**
   * The store responds within a few milliseconds, or a few hundred milliseconds while it is slow.
   */
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(1500);

  /**
   * A watch counts as lost if its response does not arrive within this time after its wait has
   * ended. The wait plus this margin is shorter than the time within which gateways must notice
   * that a server is leaving.
   */
  private static final Duration WATCH_MARGIN = Duration.ofMillis(600);

  /** The maximum number of objects of one kind: ten times the largest fleet. */
  private static final int MAX_OBJECTS = 20_000;

  private static final String OBJECTS_PATH = "/wigeonstage/objects/";

  /** States how often the store has been restored from a copy, in all its responses. */
  private static final String ERA_FIELD = "Store-Era";

  private static final Pattern ERA = Pattern.compile("[0-9]{1,18}");

  /** Attempts to read all pages of a list in one era; restores are seconds apart. */
  private static final int MAX_LIST_ATTEMPTS = 3;

  private static final String JSON_TYPE = "application/json";
  private static final byte[] NO_BODY = {};
  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int CONFLICT = 409;
  private static final int GONE = 410;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVER_ERROR = 500;

  private final HttpClient client;
  private final Endpoint store;
  private final StoreEra era;

  PlatformStoreClient(HttpClient client, Endpoint store, StoreEra era) {
    this.client = client;
    this.store = store;
    this.era = era;
  }

  /** The highest era of the store that was seen. */
  StoreEra era() {
    return era;
  }

  /** All objects of one kind at a version of the store. */
  record Listing(StoreVersion version, List<StoreObject> objects) {}

  /**
   * Reads all pages of a kind. Returns the version of the first page, so that a watch from this
   * version reports all changes that later pages may lack.
   */
  Listing list(ObjectKind kind) {
    return list(kind, KnownObjects.NONE);
  }

  /** Reads all pages of a kind, and decodes what has changed since the known objects were read. */
  Listing list(ObjectKind kind, KnownObjects known) {
    return list(kind, "", known);
  }

  /** Reads all pages of a kind as they were up to some seconds ago, which costs the store less. */
  Listing listRecent(ObjectKind kind) {
    return list(kind, "stale_read=1", KnownObjects.NONE);
  }

  private Listing list(ObjectKind kind, String parameters, KnownObjects known) {
    for (int attempt = 0; attempt < MAX_LIST_ATTEMPTS; attempt++) {
      Optional<Listing> listing = listInOneEra(kind, parameters, known);
      if (listing.isPresent()) {
        return listing.get();
      }
    }
    throw new StoreException(
        ErrorCode.STORE_UNAVAILABLE,
        "the store was restored during " + MAX_LIST_ATTEMPTS + " lists of " + kind.name(),
        null);
  }

  /** Reads all pages, or returns empty if they are of different eras. */
  private Optional<Listing> listInOneEra(ObjectKind kind, String parameters, KnownObjects known) {
    StorePage page = readPage(kind, parameters, known);
    StoreVersion version = page.version();
    List<StoreObject> objects = new ArrayList<>(page.objects());
    while (page.hasMore()) {
      String lastName = page.lastName();
      if (lastName.isEmpty()) {
        throw new StoreException(
            ErrorCode.STORE_UNAVAILABLE, "a page of the store's list has no readable name", null);
      }
      String after = "after=" + URLEncoder.encode(lastName, StandardCharsets.UTF_8);
      page = readPage(kind, parameters.isEmpty() ? after : parameters + "&" + after, known);
      if (page.version().era() != version.era()) {
        return Optional.empty();
      }
      objects.addAll(page.objects());
      boolean advances = !page.hasMore() || !page.lastName().equals(lastName);
      if (!advances || objects.size() > MAX_OBJECTS) {
        throw new StoreException(
            ErrorCode.STORE_UNAVAILABLE,
            "the list of " + kind.name() + " does not end after " + objects.size() + " objects",
            null);
      }
    }
    return Optional.of(new Listing(version, objects));
  }

  private StorePage readPage(ObjectKind kind, String parameters, KnownObjects known) {
    String query = parameters.isEmpty() ? "" : "?" + parameters;
    HttpResponse response = call("GET", kind.name() + query, NO_BODY);
    checkStatus(response, OK);
    return decode(() -> StorePage.decode(kind, response.body(), eraOf(response), known));
  }

  /**
   * The changes to the objects of one kind, in order, up to a revision of the store.
   *
   * @param revision the revision
   * @param events the changes to objects whose names could be read
   * @param isEmpty whether the store sent no changes, not even unreadable ones
   */
  record Changes(long revision, List<StoreEvent> events, boolean isEmpty) {}

  /**
   * Waits for changes after a version. Returns no events if none occur within the time, and empty
   * if the store no longer has its history back to that version, or a higher era becomes known.
   */
  Optional<Changes> watch(ObjectKind kind, StoreVersion since, Duration maxWait) {
    if (era.highest() > since.era()) {
      return Optional.empty();
    }
    String path = kind.name() + "?watch_rev=" + since.revision() + "&wait_ms=" + maxWait.toMillis();
    HttpResponse response;
    try {
      response = call("GET", path, NO_BODY, maxWait.plus(WATCH_MARGIN), since.era());
    } catch (StoreException e) {
      if (era.highest() > since.era()) {
        return Optional.empty();
      }
      throw e;
    }
    if (response.status() == GONE || eraOf(response) > since.era()) {
      return Optional.empty();
    }
    checkStatus(response, OK);
    return Optional.of(decode(() -> StoreEvent.decodeChanges(kind, response.body())));
  }

  /** Creates an object, or replaces the existing one. */
  void put(ObjectKind kind, String name, JsonNode object) {
    byte[] body = Json.write(object).getBytes(StandardCharsets.UTF_8);
    HttpResponse created = call("POST", kind.name(), body);
    if (created.status() == CONFLICT) {
      checkStatus(call("PUT", kind.name() + "/" + name, body), OK);
    } else {
      checkStatus(created, CREATED);
    }
  }

  /**
   * Writes the status of an object if it has the revision that the body names. Returns the object
   * after the write, or as it is if it has another revision.
   *
   * @param readEra the era in which the revision was read. The store may have assigned it to
   *     another content since it was restored.
   * @throws StoreException with the code {@code WRITE_UNDECIDED} if the response is of a higher
   *     era: the write may have been lost with the restore, or have changed another content
   */
  StoreObject putStatus(ObjectKind kind, String name, JsonNode object, long readEra) {
    if (era.highest() > readEra) {
      throw new StoreException(
          ErrorCode.STORE_UNAVAILABLE,
          "not written: " + kind.name() + " " + name + " was read before the store was restored",
          null);
    }
    byte[] body = Json.write(object).getBytes(StandardCharsets.UTF_8);
    String encodedName = URLEncoder.encode(name, StandardCharsets.UTF_8);
    HttpResponse response = call("PUT", kind.name() + "/" + encodedName + "/status", body);
    if (eraOf(response) > readEra) {
      throw new StoreException(
          ErrorCode.WRITE_UNDECIDED,
          "the store was restored while " + kind.name() + " " + name + " was written",
          null);
    }
    if (response.status() != CONFLICT) {
      checkStatus(response, OK);
    }
    return decode(() -> StoreObject.decode(kind, RawJson.of(response.body()), Map.of()));
  }

  private HttpResponse call(String method, String path, byte[] body) {
    return call(method, path, body, CALL_TIMEOUT, Long.MAX_VALUE);
  }

  /** Makes a call, which ends early when an era above a limit becomes known. */
  private HttpResponse call(
      String method, String path, byte[] body, Duration timeout, long maxEra) {
    HttpCall call =
        new HttpCall(method, OBJECTS_PATH + path, body.length > 0 ? JSON_TYPE : null, body);
    BlockingCall.Pending pending = BlockingCall.start(client, store, call, Map.of());
    Runnable endIfRestored =
        () -> {
          if (era.highest() > maxEra) {
            pending.cancel("the store was restored");
          }
        };
    era.addListener(endIfRestored);
    try {
      endIfRestored.run();
      HttpResponse response = pending.await(timeout);
      if (!era.observe(eraOf(response))) {
        throw new CallFailedException(
            "the response is of era " + eraOf(response) + ", before " + era.highest(), true, null);
      }
      return response;
    } catch (CallFailedException e) {
      ErrorCode code =
          body.length > 0 && e.mayHaveBeenSent()
              ? ErrorCode.WRITE_UNDECIDED
              : ErrorCode.STORE_UNAVAILABLE;
      throw new StoreException(
          code, method + " " + path + " at the platform's store failed: " + e.getMessage(), e);
    } finally {
      era.removeListener(endIfRestored);
    }
  }

  /** Returns the era that a response states; a value that is not a whole number does not count. */
  private static long eraOf(HttpResponse response) {
    return response
        .fields()
        .first(ERA_FIELD)
        .map(String::strip)
        .filter(value -> ERA.matcher(value).matches())
        .map(Long::parseLong)
        .orElse(0L);
  }

  private static void checkStatus(HttpResponse response, int expectedStatus) {
    boolean isExpected = response.status() == expectedStatus || response.status() == OK;
    if (!isExpected) {
      ErrorCode code =
          response.status() >= SERVER_ERROR || response.status() == TOO_MANY_REQUESTS
              ? ErrorCode.STORE_UNAVAILABLE
              : ErrorCode.BAD_REQUEST;
      throw new StoreException(code, "the store responded with status " + response.status(), null);
    }
  }

  private static <T> T decode(Supplier<T> decoder) {
    try {
      return decoder.get();
    } catch (WigeonstageException e) {
      throw new StoreException(
          ErrorCode.STORE_UNAVAILABLE, "the store's response is not valid JSON", e);
    }
  }
}
