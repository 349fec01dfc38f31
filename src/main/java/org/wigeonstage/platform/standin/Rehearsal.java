package org.wigeonstage.platform.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.wigeonstage.common.Json;
import org.wigeonstage.common.Polling;
import org.wigeonstage.gateway.GatewayProcess;
import org.wigeonstage.http.BlockingCall;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.platform.PlatformAdapter;
import org.wigeonstage.request.HttpCall;
import org.wigeonstage.settings.GatewaySettings;
import org.wigeonstage.settings.SettingsLoader;

/**
 * Runs two gateways with stand-ins in one process and sends them some requests. The build records
 * which classes this loads, so that gateways start faster.
 */
public final class Rehearsal {

  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final Endpoint ANY_PORT = new Endpoint("127.0.0.1", 0);
  private static final int REQUESTS_PER_GATEWAY = 60;
  private static final int OK = 200;

  private Rehearsal() {}

  /**
   * Starts the gateways and stand-ins, sends the requests, and stops everything again.
   *
   * @return the number of requests that were served
   * @throws IOException if a socket cannot be opened
   * @throws InterruptedException if the thread is interrupted
   */
  public static int run() throws IOException, InterruptedException {
    try (StoreStandin store = StoreStandin.start(ANY_PORT);
        RunnerStandin runner = RunnerStandin.start("runner-1", ANY_PORT);
        HttpClient storeClient = HttpClient.start("store", 1);
        HttpClient caller = HttpClient.start("caller", 1)) {
      store.write("config", "main", configuration());
      store.write("servers", "runner-1", runner.registration("engines", "ready"));
      PlatformAdapter adapter = new PlatformAdapter(storeClient, store.endpoint());
      try (GatewayProcess first = startGateway("rehearsal-1", store, adapter);
          GatewayProcess second = startGateway("rehearsal-2", store, adapter)) {
        int served = sendRequests(caller, first);
        awaitPeers(first, second);
        served += sendRequests(caller, second);
        sendFailingRequests(caller, second, runner);
        return served;
      }
    }
  }

  private static GatewayProcess startGateway(
      String name, StoreStandin store, PlatformAdapter adapter) throws IOException {
    GatewaySettings settings = SettingsLoader.parseGateway(settings(name, store.endpoint()));
    return GatewayProcess.start(
        settings, adapter.fleetStore(), adapter.rolloutStore(), adapter.headerCodec());
  }

  private static void awaitPeers(GatewayProcess first, GatewayProcess second)
      throws InterruptedException {
    Polling.await(() -> first.peerCount() > 0 && second.peerCount() > 0, TIMEOUT);
  }

  private static int sendRequests(HttpClient caller, GatewayProcess gateway) {
    int served = 0;
    for (int i = 0; i < REQUESTS_PER_GATEWAY; i++) {
      boolean isStream = i % 2 == 0;
      Map<String, String> fields =
          isStream
              ? Map.of("Attempt-Id", "r" + i, "Token-Count", "10,20", "Credential", "key")
              : Map.of("Attempt-Id", "r" + i, "Deadline-Ms", "1000", "Credential", "key");
      String path = isStream ? "/stream/x" : "/plain/x";
      served += call(caller, gateway.callersEndpoint(), path, fields) == OK ? 1 : 0;
    }
    HttpCall probe = new HttpCall("GET", "/readyz", null, new byte[0]);
    BlockingCall.execute(caller, gateway.readinessEndpoint(), probe, Map.of(), TIMEOUT);
    return served;
  }

  /** Sends requests that end without a response of a backend server. */
  private static void sendFailingRequests(
      HttpClient caller, GatewayProcess gateway, RunnerStandin runner) {
    Endpoint callers = gateway.callersEndpoint();
    Map<String, String> unknownKey = Map.of("Attempt-Id", "u", "Credential", "unknown");
    call(caller, callers, "/plain/x", unknownKey);
    Map<String, String> validKey =
        Map.of("Attempt-Id", "d", "Deadline-Ms", "300", "Credential", "key");
    call(caller, callers, "/nowhere/x", validKey);
    for (RunnerStandin.Behaviour behaviour :
        List.of(RunnerStandin.Behaviour.DECLINES, RunnerStandin.Behaviour.LOSES_RESPONSE)) {
      runner.setBehaviour(behaviour);
      call(caller, callers, "/status/x", validKey);
    }
  }

  private static int call(
      HttpClient caller, Endpoint gateway, String path, Map<String, String> fields) {
    HttpCall call =
        new HttpCall("POST", path, "text/plain", "body".getBytes(StandardCharsets.UTF_8));
    return BlockingCall.execute(caller, gateway, call, fields, TIMEOUT).status();
  }

  /**
   * Returns the settings of a gateway on loopback.
   *
   * @param name the name of the gateway
   * @param store the address and port of its store
   * @return the settings as JSON
   * @throws IOException if no port is free
   */
  public static String settings(String name, Endpoint store) throws IOException {
    return Json.write(
        JsonNodeFactory.instance
            .objectNode()
            .put("name", name)
            .put("failureDomain", "zone-a")
            .put("callers", ANY_PORT.toString())
            .put("readiness", ANY_PORT.toString())
            .put("peers", freePort().toString())
            .put("metrics", ANY_PORT.toString())
            .put("store", store.toString()));
  }

  /** Gateways announce the peer address of their settings, so it needs an actual port. */
  private static Endpoint freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new Endpoint(ANY_PORT.host(), socket.getLocalPort());
    }
  }

  /**
   * Returns a configuration with a plain route and a resumable stream, for the host 127.0.0.1.
   *
   * @return the configuration
   */
  public static ObjectNode configuration() {
    ObjectNode spec = JsonNodeFactory.instance.objectNode().put("version", 1);
    ArrayNode routes = spec.putArray("routes");
    routes.add(route("plain", "non_idempotent"));
    routes.add(route("status", "idempotent"));
    routes.add(route("stream", "streaming").put("resumable", true).put("target_gap_ms", 400));
    spec.putArray("services").addObject().put("name", "engines").put("health_path", "/healthz");
    spec.putArray("tenants")
        .addObject()
        .put("name", "shop")
        .put("billing_unit", "tokens")
        .put("rate_per_s", 1_000_000)
        .put("burst_size", 1_000_000)
        .put("plain_tokens", 200)
        .putArray("api_keys")
        .add("key");
    return spec;
  }

  private static ObjectNode route(String name, String kind) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("name", name)
        .put("host", "127.0.0.1")
        .put("path_prefix", "/" + name + "/")
        .put("route_kind", kind)
        .put("timeout_ms", 3000)
        .put("target_latency_ms", 500)
        .put("max_attempts", 2)
        .put("service", "engines");
  }
}
