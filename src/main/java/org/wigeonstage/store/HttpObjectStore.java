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

/** Accesses the platform's object store over HTTP. */
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
   * @param client the HTTP client
   * @param platform the address of the platform
   */
  public HttpObjectStore(HttpClient client, Endpoint platform) {
    this.client = client;
    this.platform = platform;
  }

  @Override
  public Optional<StoredObject> get(String kind, String name) {
    HttpResponse response = read("/v1/objects/" + kind + "/" + name, CALL_TIMEOUT);
    if (response.status() == NOT_FOUND) {
      return Optional.empty();
    }
    return Optional.of(Json.read(parseBody(response), StoredObject.class));
  }

  @Override
  public ObjectList list(String kind) {
    return Json.read(parseBody(read("/v1/objects/" + kind, CALL_TIMEOUT)), ObjectList.class);
  }

  @Override
  public Optional<ObjectList> watch(String kind, long afterRevision, Duration timeout) {
    String path =
        "/v1/watch/" + kind + "?after=" + afterRevision + "&timeoutMillis=" + timeout.toMillis();
    HttpResponse response = read(path, timeout.plus(CALL_TIMEOUT));
    if (response.status() == NO_CONTENT) {
      return Optional.empty();
    }
    return Optional.of(Json.read(parseBody(response), ObjectList.class));
  }

  @Override
  public List<ListedHost> hosts() {
    JsonNode hosts = parseBody(read("/v1/hosts", CALL_TIMEOUT));
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
    Map<String, String> fields = Map.of("If-Match", Long.toString(expectedVersion));
    HttpResponse response;
    try {
      response = BlockingCall.execute(client, platform, call, fields, CALL_TIMEOUT);
    } catch (CallFailedException e) {
      ErrorCode code =
          e.mayHaveBeenSent() ? ErrorCode.WRITE_UNDECIDED : ErrorCode.STORE_UNAVAILABLE;
      throw new StoreException(
          code, "write to " + kind + "/" + name + " failed: " + e.getMessage(), e);
    }
    return parseVersion(response, kind + "/" + name);
  }

  private static long parseVersion(HttpResponse response, String object) {
    return switch (response.status()) {
      case OK -> Json.parse(response.text()).path("version").asLong();
      case CONFLICT ->
          throw new StoreException(
              ErrorCode.VERSION_CONFLICT,
              object + " has a version other than the expected one",
              null);
      case TOO_MANY_REQUESTS ->
          throw new StoreException(
              ErrorCode.STORE_UNAVAILABLE,
              "write to " + object + " was refused: the platform's rate limit is exceeded",
              null);
      default ->
          throw new StoreException(
              ErrorCode.WRITE_UNDECIDED,
              "write to " + object + " returned unexpected status " + response.status(),
              null);
    };
  }

  private HttpResponse read(String path, Duration timeout) {
    HttpCall call = new HttpCall("GET", path, null, NO_BODY);
    try {
      return BlockingCall.execute(client, platform, call, Map.of(), timeout);
    } catch (CallFailedException e) {
      throw new StoreException(
          ErrorCode.STORE_UNAVAILABLE,
          "the platform is unreachable: GET " + path + " failed: " + e.getMessage(),
          e);
    }
  }

  private static JsonNode parseBody(HttpResponse response) {
    if (response.status() != OK) {
      throw new StoreException(
          ErrorCode.STORE_UNAVAILABLE,
          "the platform responded with status " + response.status(),
          null);
    }
    return Json.parse(response.text());
  }
}
