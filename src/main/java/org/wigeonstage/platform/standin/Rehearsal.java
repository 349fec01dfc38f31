package org.wigeonstage.platform.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import org.wigeonstage.gateway.GatewayProcess;
import org.wigeonstage.http.BlockingCall;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpAnswer;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.platform.PlatformAdapter;
import org.wigeonstage.request.HttpCall;
import org.wigeonstage.settings.GatewaySettings;
import org.wigeonstage.settings.SettingsLoader;

/**
 * Runs a gateway with stand-ins in one process and sends it a few requests. The build records which
 * classes that loads, so that gateways start faster.
 */
public final class Rehearsal {

  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final Endpoint ANY_PORT = new Endpoint("127.0.0.1", 0);
  private static final int REQUESTS = 60;
  private static final int OK = 200;

  private Rehearsal() {}

  /**
   * Runs the rehearsal.
   *
   * @return the number of requests that were served
   * @throws IOException where sockets fail
   * @throws InterruptedException where the thread is interrupted
   */
  public static int run() throws IOException, InterruptedException {
    try (StoreStandin store = StoreStandin.start(ANY_PORT);
        RunnerStandin runner = RunnerStandin.start("runner-1", ANY_PORT);
        HttpClient storeClient = HttpClient.start("store", 1);
        HttpClient caller = HttpClient.start("caller", 1)) {
      store.write("config", "main", configuration());
      store.write("servers", "runner-1", runner.entry("engines", "ready"));
      GatewaySettings settings = SettingsLoader.gatewayOf(settings(store.endpoint()));
      PlatformAdapter adapter = new PlatformAdapter(storeClient, store.endpoint());
      try (GatewayProcess gateway =
          GatewayProcess.start(settings, adapter.fleetStore(), adapter.headerDialect())) {
        return call(caller, gateway.callersEndpoint(), gateway.readinessEndpoint());
      }
    }
  }

  private static int call(HttpClient caller, Endpoint gateway, Endpoint readiness) {
    int served = 0;
    for (int i = 0; i < REQUESTS; i++) {
      boolean isStream = i % 2 == 0;
      Map<String, String> headers =
          isStream
              ? Map.of("Attempt-Id", "r" + i, "Token-Count", "10,20", "Credential", "key")
              : Map.of("Attempt-Id", "r" + i, "Deadline-Ms", "1000", "Credential", "key");
      HttpCall call =
          new HttpCall(
              "POST",
              isStream ? "/stream/x" : "/plain/x",
              "text/plain",
              "body".getBytes(StandardCharsets.UTF_8));
      HttpAnswer answer = BlockingCall.make(caller, gateway, call, headers, TIMEOUT);
      served += answer.status() == OK ? 1 : 0;
    }
    HttpCall probe = new HttpCall("GET", "/readyz", null, new byte[0]);
    BlockingCall.make(caller, readiness, probe, Map.of(), TIMEOUT);
    return served;
  }

  private static String settings(Endpoint store) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("name", "rehearsal")
        .put("failureDomain", "zone-a")
        .put("callers", ANY_PORT.toString())
        .put("readiness", ANY_PORT.toString())
        .put("peers", ANY_PORT.toString())
        .put("metrics", ANY_PORT.toString())
        .put("store", store.toString())
        .toString();
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
