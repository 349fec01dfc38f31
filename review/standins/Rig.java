import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.platform.standin.StoreStandin;

/**
 * A small deployment on loopback: the project's stand-in of the platform's store, runners that a
 * case supplies, and gateways as separate processes, started with the command of the deploy file.
 */
final class Rig implements AutoCloseable {

  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

  final StoreStandin store = StoreStandin.start(new Endpoint("127.0.0.1", 0));
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Path folder;
  private final PrintWriter record;
  private final long startedAt = System.nanoTime();
  private final List<GatewayProcessHandle> gateways = new ArrayList<>();
  private final List<Runner> runners = new ArrayList<>();
  private int version;

  Rig(Path recordFile) throws IOException {
    this.folder = Files.createTempDirectory("review");
    this.record = new PrintWriter(Files.newBufferedWriter(recordFile, StandardCharsets.UTF_8));
    log("disruption " + (trouble ? "on" : "off"));
  }

  /** Writes a line to the record, with the seconds since the start. */
  synchronized void log(String line) {
    record.printf("%8.3f %s%n", (System.nanoTime() - startedAt) / 1e9, line);
    record.flush();
  }

  /** A running gateway. */
  record GatewayProcessHandle(
      String name, Process process, int callersPort, int readinessPort, int metricsPort) {}

  static ObjectNode route(String name, String kind, String service, int maxAttempts) {
    return JSON.objectNode()
        .put("name", name)
        .put("host", "review.example")
        .put("path_prefix", "/" + name + "/")
        .put("route_kind", kind)
        .put("timeout_ms", 10_000)
        .put("target_latency_ms", 500)
        .put("target_gap_ms", 400)
        .put("max_attempts", maxAttempts)
        .put("priority", 0)
        .put("service", service);
  }

  /** Writes a configuration without tenants, as the operator does. */
  void configure(List<ObjectNode> routes, List<String> services) {
    ObjectNode spec = JSON.objectNode().put("version", ++version);
    ArrayNode listedRoutes = spec.putArray("routes");
    routes.forEach(listedRoutes::add);
    ArrayNode listedServices = spec.putArray("services");
    services.forEach(
        name -> listedServices.addObject().put("name", name).put("health_path", "/healthz"));
    spec.putObject("limits")
        .put("max_header_bytes", 16_384)
        .put("max_body_bytes", 4_194_304)
        .put("header_timeout_ms", 3_000)
        .put("idle_timeout_ms", 15_000);
    store.write("config", "main", spec);
    log("operator: configuration " + version);
  }

  /** Starts a runner and registers it. */
  Runner startRunner(String id, String service, int slots, Runner.Behaviour behaviour)
      throws IOException {
    Runner runner = new Runner(id, this::log, behaviour);
    runners.add(runner);
    register(runner, service, slots, "ready");
    return runner;
  }

  void register(Runner runner, String service, int slots, String state) {
    store.write(
        "servers",
        runner.id(),
        JSON.objectNode()
            .put("service", service)
            .put("address", "127.0.0.1:" + runner.port())
            .put("zone", "zone-a")
            .put("version", "v1")
            .put("slot_count", slots)
            .put("state", state)
            .put("cold_remaining_ms", 0)
            .put("born", runner.startedAtMillis())
            .put("sequence", 1));
    log("runner " + runner.id() + " registered as " + state + " at port " + runner.port());
  }

  /** Starts a gateway with the command of the deploy file, and waits until it is ready. */
  GatewayProcessHandle startGateway(String name) throws IOException, InterruptedException {
    return startGateway(name, store.endpoint());
  }

  /** Starts a gateway that reaches the store at the given address. */
  GatewayProcessHandle startGateway(String name, Endpoint storeAddress)
      throws IOException, InterruptedException {
    int callers = freePort();
    int readiness = freePort();
    int metrics = freePort();
    Path settings = folder.resolve(name + ".json");
    Files.writeString(
        settings,
        JSON.objectNode()
            .put("name", name)
            .put("failureDomain", "zone-a")
            .put("callers", "127.0.0.1:" + callers)
            .put("readiness", "127.0.0.1:" + readiness)
            .put("peers", "127.0.0.1:" + freePort())
            .put("metrics", "127.0.0.1:" + metrics)
            .put("store", storeAddress.toString())
            .put("isFirstStart", true)
            .put("revocationMillis", 5000)
            .put("configurationMillis", 2000)
            .put("leavingMillis", 2000)
            .put("retryRatio", 0.2)
            .put("retryFixed", 54)
            .put("retryWindowSeconds", 10)
            .put("quotaWindowSeconds", 8)
            .put("quotaOverage", 0.1)
            .put("quotaSlack", 140_000)
            .put("graceSeconds", 8)
            .toString());
    List<String> command = new ArrayList<>(deployCommand());
    command.replaceAll(word -> word.equals("/etc/wigeonstage/local.toml") ? settings.toString() : word);
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.redirectErrorStream(true).redirectOutput(folder.resolve(name + ".log").toFile());
    Process process = builder.start();
    GatewayProcessHandle gateway =
        new GatewayProcessHandle(name, process, callers, readiness, metrics);
    gateways.add(gateway);
    for (int i = 0; i < 200; i++) {
      if (!process.isAlive()) {
        throw new IOException("the gateway has ended by itself");
      }
      if (isReady(gateway)) {
        log("gateway " + name + " is ready");
        return gateway;
      }
      Thread.sleep(100);
    }
    throw new IOException("the gateway does not get ready");
  }

  /** Asks whether the gateway is ready, by the call that deploy/wire.toml names. */
  static boolean isReady(GatewayProcessHandle gateway) {
    try (Client client = new Client(gateway.readinessPort(), 1000)) {
      client.send("GET", "/readyz", "127.0.0.1", List.of(), new byte[0]);
      return client.receive().status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  private static List<String> deployCommand() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("the deploy file has no command");
    }
    return Arrays.asList(run.group(1).split(" "));
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  /** Returns the lines that a gateway has logged. */
  List<String> gatewayLog(String name) throws IOException {
    return Files.readAllLines(folder.resolve(name + ".log"));
  }

  @Override
  public void close() throws IOException, InterruptedException {
    for (GatewayProcessHandle gateway : gateways) {
      gateway.process().destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    }
    for (Runner runner : runners) {
      runner.close();
    }
    store.close();
    record.close();
    if (System.getenv("KEEP_LOGS") != null) {
      System.err.println(folder);
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
  }
}
