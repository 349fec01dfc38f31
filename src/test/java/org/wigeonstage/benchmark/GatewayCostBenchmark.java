package org.wigeonstage.benchmark;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.io.Closer;
import java.io.File;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ControlExecutors;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.http.HttpServer;
import org.wigeonstage.http.ResponseListener;
import org.wigeonstage.http.ServerExchange;
import org.wigeonstage.platform.standin.Rehearsal;
import org.wigeonstage.platform.standin.StoreStandin;
import org.wigeonstage.request.HeaderFields;
import org.wigeonstage.request.HttpCall;

/**
 * Measures what requests and peers cost one gateway: processor time and wake-ups by thread, and
 * system calls that read or write.
 *
 * <p>The gateway is a process with the flags of the deployment. This process runs everything else:
 * the store, 31 backend servers, {@link FakePeer 23 peers} and the callers. Arguments: requests per
 * second, and further flags of the gateway's virtual machine.
 */
public final class GatewayCostBenchmark {

  private static final int SERVERS = 31;
  private static final int PEERS = 23;
  private static final int EVENTS = 30;
  private static final int EVENT_INTERVAL_MILLIS = 10;
  private static final int PLAIN_MILLIS = 20;
  private static final int WARM_UP_SECONDS = 15;
  private static final int MEASUREMENT_SECONDS = 25;
  private static final int MAX_BODY_BYTES = 1024 * 1024;
  private static final double STREAM_SHARE = 0.6;
  private static final int OK = 200;

  private final Closer closer = Closer.create();
  private final ScheduledExecutorService timer =
      ControlExecutors.newSingleThreadExecutor("benchmark-timer");
  private final SplittableRandom random = new SplittableRandom(1);
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger failed = new AtomicInteger();
  private final List<FakePeer> peers = new ArrayList<>();
  private final HttpClient caller = closer.register(HttpClient.start("caller", 1));
  private final Endpoint callers = new Endpoint("127.0.0.1", freePort());
  private int requestCount;

  private GatewayCostBenchmark() {}

  /**
   * Runs the measurement and prints the results.
   *
   * @param args the rate, and flags of the virtual machine
   */
  public static void main(String[] args) throws Exception {
    double rate = args.length > 0 ? Double.parseDouble(args[0]) : 25;
    List<String> flags = List.of(args).subList(Math.min(1, args.length), args.length);
    GatewayCostBenchmark benchmark = new GatewayCostBenchmark();
    try {
      benchmark.run(rate, flags);
    } finally {
      benchmark.timer.shutdownNow();
      benchmark.closer.close();
    }
    System.exit(0);
  }

  private void run(double rate, List<String> flags) throws Exception {
    StoreStandin store = closer.register(StoreStandin.start(new Endpoint("127.0.0.1", 0)));
    store.write("config", "main", Rehearsal.configuration());
    HttpServer servers =
        HttpServer.start("server", new Endpoint("0.0.0.0", 0), MAX_BODY_BYTES, this::serve);
    for (int i = 1; i <= SERVERS; i++) {
      store.write("servers", "server-" + i, registration(i, servers.endpoint().port()));
    }
    for (int i = 1; i <= PEERS; i++) {
      FakePeer peer = closer.register(new FakePeer("peer-" + i, SERVERS, new MetricRegistry()));
      peers.add(peer);
      store.write("gateways", peer.name(), address(peer.endpoint()));
    }
    Process gateway = startGateway(store.endpoint(), flags);
    try {
      Thread.sleep(TimeUnit.SECONDS.toMillis(3));
      peers.forEach(peer -> peer.reportPeriodically(timer));
      sendNext(rate);
      System.out.printf("starting: %s%n", ProcessUsage.of(gateway.pid()).total());
      Thread.sleep(TimeUnit.SECONDS.toMillis(WARM_UP_SECONDS));
      measure(gateway.pid());
    } finally {
      gateway.destroy();
      gateway.waitFor();
      servers.close();
    }
  }

  private void measure(long pid) throws Exception {
    ProcessUsage before = ProcessUsage.of(pid);
    int servedBefore = served.get();
    int failedBefore = failed.get();
    long reportsBefore = peers.stream().mapToLong(FakePeer::received).sum();
    System.out.printf("warm: %s%n", before.total());
    Thread.sleep(TimeUnit.SECONDS.toMillis(MEASUREMENT_SECONDS));
    ProcessUsage.of(pid).printSince(before, MEASUREMENT_SECONDS);
    double seconds = MEASUREMENT_SECONDS;
    System.out.printf(
        "served %.1f/s, failed %.1f/s, reports from the gateway %.0f/s%n",
        (served.get() - servedBefore) / seconds,
        (failed.get() - failedBefore) / seconds,
        (peers.stream().mapToLong(FakePeer::received).sum() - reportsBefore) / seconds);
  }

  private Process startGateway(Endpoint store, List<String> flags) throws IOException {
    ObjectNode settings =
        JsonNodeFactory.instance
            .objectNode()
            .put("name", "measured")
            .put("failureDomain", "zone-a")
            .put("isFirstStart", true)
            .put("log", "json")
            .put("logOneIn", Integer.getInteger("logOneIn", 200))
            .put("callers", callers.toString())
            .put("readiness", "127.0.0.1:" + freePort())
            .put("peers", "127.0.0.1:" + freePort())
            .put("metrics", "127.0.0.1:" + freePort())
            .put("store", store.toString());
    Path file = Files.createTempFile("gateway-cost", ".json");
    file.toFile().deleteOnExit();
    Files.writeString(file, settings.toString());
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx160m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:SharedArchiveFile=target/wigeonstage.jsa",
                "-Xshare:auto"));
    command.addAll(flags);
    command.addAll(List.of("-jar", "target/wigeonstage-0.1.0-SNAPSHOT.jar"));
    command.addAll(List.of("gateway", "--settings", file.toString()));
    return new ProcessBuilder(command)
        .redirectOutput(new File("target/gateway-cost.log"))
        .redirectError(new File("target/gateway-cost.err"))
        .start();
  }

  /** Returns a free port below those that the system assigns to outgoing connections. */
  private static int freePort() {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(20_000, 32_000);
      try (ServerSocket socket = new ServerSocket(port)) {
        return socket.getLocalPort();
      } catch (IOException e) {
        // The port is in use; try another one.
      }
    }
  }

  private static ObjectNode address(Endpoint endpoint) {
    return JsonNodeFactory.instance.objectNode().put("address", endpoint.toString());
  }

  private static ObjectNode registration(int number, int port) {
    return address(new Endpoint("127.0.1." + number, port))
        .put("service", "engines")
        .put("zone", "zone-a")
        .put("version", "v1")
        .put("slot_count", 9)
        .put("state", "ready")
        .put("cold_remaining_ms", 0)
        .put("sequence", 1);
  }

  private void serve(ServerExchange exchange) {
    HeaderFields fields =
        HeaderFields.NONE
            .with("Attempt-Id", String.valueOf(exchange.header("Attempt-Id")))
            .with("Response-Signature", "signed-by-" + exchange.header("Target-Instance"));
    if (exchange.header("Token-Count") == null) {
      byte[] body = "a short response".getBytes(StandardCharsets.UTF_8);
      timer.schedule(() -> exchange.respond(OK, fields, body), PLAIN_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      exchange.start(OK, fields.with("Content-Type", "text/event-stream"), -1);
      sendEvent(exchange, 1);
    }
  }

  private void sendEvent(ServerExchange exchange, int number) {
    if (number > EVENTS) {
      exchange.end();
      return;
    }
    String event = "id: " + number + "\ndata: an event with a few tokens\n\n";
    exchange.write(event.getBytes(StandardCharsets.UTF_8));
    timer.schedule(
        () -> sendEvent(exchange, number + 1), EVENT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Sends a request, and the next one after an exponentially distributed time. */
  private void sendNext(double rate) {
    boolean isStream = random.nextDouble() < STREAM_SHARE;
    Map<String, String> fields = new HashMap<>();
    fields.put("Attempt-Id", "request-" + requestCount++);
    fields.put("Credential", "key");
    fields.put("Deadline-Ms", "3000");
    if (isStream) {
      fields.put("Token-Count", "688,300");
    }
    HttpCall call =
        new HttpCall("POST", isStream ? "/stream/x" : "/plain/x", "text/plain", new byte[512]);
    caller.send(callers, call, fields, new Recorder());
    double pauseSeconds = -Math.log(1 - random.nextDouble()) / rate;
    timer.schedule(() -> sendNext(rate), (long) (pauseSeconds * 1e6), TimeUnit.MICROSECONDS);
  }

  /** Counts the results of calls. */
  private final class Recorder implements ResponseListener {

    private int status;

    @Override
    public void onStart(int responseStatus, @Nullable String contentType) {
      status = responseStatus;
    }

    @Override
    public void onData(byte[] data) {}

    @Override
    public void onComplete() {
      (status == OK ? served : failed).incrementAndGet();
    }

    @Override
    public void onConnectFailure(Throwable cause) {
      failed.incrementAndGet();
    }

    @Override
    public void onFailure(Throwable cause) {
      failed.incrementAndGet();
    }
  }
}
