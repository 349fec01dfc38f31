package org.wigeonstage.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.Json;
import org.wigeonstage.http.BlockingCall;
import org.wigeonstage.http.CallFailedException;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.http.HttpResponse;
import org.wigeonstage.request.HttpCall;

/** The object API over HTTP. */
public final class HttpObjectStore implements ObjectStore {

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);
  private static final byte[] NO_BODY = {};
  private static final int OK = 200;
  private static final int NO_CONTENT = 204;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int TOO_MANY_REQUESTS = 429;

  private final HttpClient client;
  private final Endpoint platform;

  /**
   * Creates a store.
   *
   * @param client makes the calls
   * @param platform the platform's address
   */
  public HttpObjectStore(HttpClient client, Endpoint platform) {
    this.client = client;
    this.platform = platform;
  }

  @Override
  public Optional<StoredObject> get(String kind, String name) {
    HttpResponse answer = read("/v1/objects/" + kind + "/" + name, CALL_TIMEOUT);
    if (answer.status() == NOT_FOUND) {
      return Optional.empty();
    }
    return Optional.of(Json.read(bodyOf(answer), StoredObject.class));
  }

  @Override
  public ObjectList list(String kind) {
    return Json.read(bodyOf(read("/v1/objects/" + kind, CALL_TIMEOUT)), ObjectList.class);
  }

  @Override
  public Optional<ObjectList> watch(String kind, long afterRevision, Duration timeout) {
    String path =
        "/v1/watch/" + kind + "?after=" + afterRevision + "&timeoutMillis=" + timeout.toMillis();
    HttpResponse answer = read(path, timeout.plus(CALL_TIMEOUT));
    if (answer.status() == NO_CONTENT) {
      return Optional.empty();
    }
    return Optional.of(Json.read(bodyOf(answer), ObjectList.class));
  }

  @Override
  public List<ListedHost> hosts() {
    JsonNode hosts = bodyOf(read("/v1/hosts", CALL_TIMEOUT));
    return Arrays.asList(Json.read(hosts, ListedHost[].class));
  }

  @Override
  public long put(String kind, String name, long expectedVersion, String value) {
    HttpCall call =
        new HttpCall(
            "PUT",
            "/v1/objects/" + kind + "/" + name,
            "text/plain",
            value.getBytes(StandardCharsets.UTF_8));
    Map<String, String> headers = Map.of("If-Match", Long.toString(expectedVersion));
    HttpResponse answer;
    try {
      answer = BlockingCall.execute(client, platform, call, headers, CALL_TIMEOUT);
    } catch (CallFailedException e) {
      ErrorCode code =
          e.mayHaveBeenSent() ? ErrorCode.WRITE_UNDECIDED : ErrorCode.STORE_UNAVAILABLE;
      throw new StoreException(code, "write to " + kind + "/" + name + " failed", e);
    }
    return versionOf(answer, kind + "/" + name);
  }

  private static long versionOf(HttpResponse answer, String object) {
    return switch (answer.status()) {
      case OK -> Json.parse(answer.text()).path("version").asLong();
      case CONFLICT ->
          throw new StoreException(
              ErrorCode.VERSION_CONFLICT, object + " has another version", null);
      case TOO_MANY_REQUESTS ->
          throw new StoreException(
              ErrorCode.STORE_UNAVAILABLE, "the platform's rate limit is reached", null);
      default ->
          throw new StoreException(
              ErrorCode.WRITE_UNDECIDED,
              "write to " + object + " got status " + answer.status(),
              null);
    };
  }

  private HttpResponse read(String path, Duration timeout) {
    HttpCall call = new HttpCall("GET", path, null, NO_BODY);
    try {
      return BlockingCall.execute(client, platform, call, Map.of(), timeout);
    } catch (CallFailedException e) {
      throw new StoreException(ErrorCode.STORE_UNAVAILABLE, "the platform can't be reached", e);
    }
  }

  private static JsonNode bodyOf(HttpResponse answer) {
    if (answer.status() != OK) {
      throw new StoreException(
          ErrorCode.STORE_UNAVAILABLE, "the platform answered " + answer.status(), null);
    }
    return Json.parse(answer.text());
  }
}
