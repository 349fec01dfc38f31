package org.wigeonstage.gateway;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.io.Closer;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.wigeonstage.common.Polling;
import org.wigeonstage.fleet.FleetStore;
import org.wigeonstage.forward.HeaderCodec;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.platform.PlatformAdapter;
import org.wigeonstage.platform.standin.Rehearsal;
import org.wigeonstage.platform.standin.RunnerStandin;
import org.wigeonstage.platform.standin.StoreStandin;
import org.wigeonstage.settings.SettingsLoader;

/**
 * Runs a gateway with stand-ins for the store and for the backend servers on the loopback
 * interface.
 *
 * <p>{@link Rehearsal#configuration} has the routes "plain" (non-idempotent), "status" (idempotent)
 * and "stream" (a resumable stream), which use the pool "engines".
 */
final class GatewayFixture implements Closeable {

  private static final Endpoint ANY_PORT = new Endpoint("127.0.0.1", 0);
  private static final Duration DEADLINE = Duration.ofMillis(2500);
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  /** So long that late responses of the store on a busy machine cause no rejections. */
  private static final Duration REVOCATION_DELAY = Duration.ofSeconds(60);

  private final Closer closer = Closer.create();
  final StoreStandin store = closer.register(StoreStandin.start(ANY_PORT));
  final List<RunnerStandin> servers = new ArrayList<>();
  private final ObjectNode additionalSettings;
  final GatewayProcess gateway;

  GatewayFixture(int serverCount, ObjectNode configuration) {
    this(serverCount, configuration, JsonNodeFactory.instance.objectNode());
  }

  GatewayFixture(int serverCount, ObjectNode configuration, int graceSeconds) {
    this(
        serverCount,
        configuration,
        JsonNodeFactory.instance.objectNode().put("graceSeconds", graceSeconds));
  }

  GatewayFixture(int serverCount, ObjectNode configuration, ObjectNode additionalSettings) {
    this.additionalSettings = additionalSettings;
    for (int i = 1; i <= serverCount; i++) {
      addServer("runner-" + i);
    }
    store.write("config", "main", configuration);
    this.gateway = startGateway("gateway-1");
  }

  GatewayFixture(int serverCount) {
    this(serverCount, Rehearsal.configuration());
  }

  /** Returns a configuration whose requests are sent to one server only. */
  static ObjectNode singleAttemptConfiguration(Duration timeout) {
    ObjectNode configuration = Rehearsal.configuration();
    configuration
        .withArray("routes")
        .forEach(
            route ->
                ((ObjectNode) route)
                    .put("resumable", false)
                    .put("max_attempts", 1)
                    .put("timeout_ms", timeout.toMillis()));
    return configuration;
  }

  /** Starts a gateway with a server, and awaits that it sends requests to it. */
  static GatewayFixture with(ScriptedServer server) throws InterruptedException {
    return awaitServing(new GatewayFixture(0), server);
  }

  /** Starts a gateway with a server, and awaits that it sends requests to it. */
  static GatewayFixture with(ScriptedServer server, ObjectNode configuration)
      throws InterruptedException {
    GatewayFixture fixture =
        new GatewayFixture(
            0,
            configuration,
            JsonNodeFactory.instance
                .objectNode()
                .put("revocationMillis", REVOCATION_DELAY.toMillis()));
    return awaitServing(fixture, server);
  }

  private static GatewayFixture awaitServing(GatewayFixture fixture, ScriptedServer server)
      throws InterruptedException {
    fixture.store.write("servers", "scripted", server.registration());
    fixture.awaitStatus("status", 200);
    return fixture;
  }

  RunnerStandin addServer(String id) {
    RunnerStandin server = closer.register(RunnerStandin.start(id, ANY_PORT));
    servers.add(server);
    store.write("servers", id, server.registration("engines", "ready"));
    return server;
  }

  GatewayProcess startGateway(String name) {
    return startGateway(name, store -> store);
  }

  /** Starts a gateway whose access to the store is wrapped. */
  GatewayProcess startGateway(String name, UnaryOperator<FleetStore> wrapper) {
    return startGateway(name, wrapper, codec -> codec);
  }

  /** Starts a gateway whose access to the store and whose codec are wrapped. */
  GatewayProcess startGateway(
      String name, UnaryOperator<FleetStore> wrapper, UnaryOperator<HeaderCodec> codecWrapper) {
    HttpClient client = closer.register(HttpClient.start("store", 1));
    PlatformAdapter adapter = new PlatformAdapter(client, store.endpoint());
    return closer.register(
        GatewayProcess.start(
            SettingsLoader.parseGateway(settings(name).toString()),
            wrapper.apply(adapter.fleetStore()),
            adapter.rolloutStore(),
            codecWrapper.apply(adapter.headerCodec())));
  }

  private ObjectNode settings(String name) {
    ObjectNode settings =
        JsonNodeFactory.instance
            .objectNode()
            .put("name", name)
            .put("failureDomain", "zone-a")
            .put("revocationMillis", 2000)
            .put("isFirstStart", true)
            .put("store", store.endpoint().toString());
    for (String address : List.of("callers", "readiness", "peers", "metrics")) {
      settings.put(address, ANY_PORT.toString());
    }
    settings.setAll(additionalSettings);
    return settings;
  }

  /** Applies changed settings to the first gateway. */
  void reload(Consumer<ObjectNode> change) {
    ObjectNode settings = settings("gateway-1");
    change.accept(settings);
    gateway.reload(SettingsLoader.parseGateway(settings.toString()));
  }

  /** Sends raw bytes on a new connection, and returns everything that is read until it ends. */
  String sendRaw(String request) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", gateway.callersEndpoint().port())) {
      socket.setSoTimeout((int) TIMEOUT.toMillis());
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
      return new String(readAll(socket.getInputStream()), StandardCharsets.ISO_8859_1);
    }
  }

  private static byte[] readAll(InputStream input) throws IOException {
    return input.readAllBytes();
  }

  /** Returns everything that is read until the connection ends. */
  static String readResponse(Socket socket) throws IOException {
    socket.setSoTimeout((int) TIMEOUT.toMillis());
    return new String(readAll(socket.getInputStream()), StandardCharsets.ISO_8859_1);
  }

  /** Sends one request on a new connection, and returns the response. */
  String request(String route, String id, String... fields) throws IOException {
    return request(route, id, DEADLINE, fields);
  }

  /** Sends one request with the given deadline on a new connection, and returns the response. */
  String request(String route, String id, Duration deadline, String... fields) throws IOException {
    StringBuilder request = new StringBuilder("POST /" + route + "/x?q=1 HTTP/1.1\r\n");
    request.append("Host: 127.0.0.1\r\nConnection: close\r\nAttempt-Id: ").append(id);
    request.append("\r\nDeadline-Ms: ").append(deadline.toMillis());
    request.append("\r\nCredential: key\r\nContent-Length: 4\r\n");
    if (route.equals("stream")) {
      request.append("Token-Count: 10,20\r\n");
    }
    for (String field : fields) {
      request.append(field).append("\r\n");
    }
    return sendRaw(request.append("\r\nbody").toString());
  }

  /** Sends a plain request, and closes the connection while the request runs. */
  void sendAndDisconnect(String id) throws IOException, InterruptedException {
    try (Socket socket = sendPlain(id)) {
      if (!Polling.await(() -> !runsOf(id).isEmpty(), TIMEOUT)) {
        throw new AssertionError("request " + id + " was not run within " + TIMEOUT);
      }
    }
  }

  /** Sends a plain request on a new connection, and leaves the connection open. */
  Socket sendPlain(String id) throws IOException {
    return send("plain", id, "Deadline-Ms: 2500\r\n");
  }

  /** Sends a request on a new connection, and leaves the connection open. */
  Socket send(String route, String id, String fields) throws IOException {
    return send(gateway, route, id, fields);
  }

  /** Sends a request to the given gateway on a new connection, and leaves the connection open. */
  static Socket send(GatewayProcess target, String route, String id, String fields)
      throws IOException {
    String request =
        "POST /%s/x HTTP/1.1\r\nHost: 127.0.0.1\r\nAttempt-Id: %s\r\n".formatted(route, id)
            + fields
            + "Credential: key\r\nContent-Length: 0\r\n\r\n";
    Socket socket = new Socket("127.0.0.1", target.callersEndpoint().port());
    socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
    return socket;
  }

  /** Opens a connection without a request. */
  static Socket connect(GatewayProcess target) throws IOException {
    return new Socket("127.0.0.1", target.callersEndpoint().port());
  }

  List<RunnerStandin.RunRecord> runsOf(String id) {
    return servers.stream()
        .flatMap(server -> server.runs().stream())
        .filter(run -> run.attemptId().equals(id))
        .toList();
  }

  /** Sends requests, each with an identifier of its own, until one gets the given status. */
  void awaitStatus(String route, int status) throws InterruptedException {
    int[] requestCount = {0};
    boolean isReached =
        Polling.await(
            () -> {
              try {
                return statusOf(request(route, "wait-" + route + status + requestCount[0]++))
                    == status;
              } catch (IOException e) {
                throw new IllegalStateException(e);
              }
            },
            TIMEOUT);
    if (!isReached) {
      throw new AssertionError("no response with status " + status + " within " + TIMEOUT);
    }
  }

  /** Returns the status of a response, or 0 if there is none. */
  static int statusOf(String response) {
    return response.startsWith("HTTP/1.1 ") ? Integer.parseInt(response.substring(9, 12)) : 0;
  }

  @Override
  public void close() throws IOException {
    closer.close();
  }
}
