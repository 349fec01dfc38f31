package org.wigeonstage.system;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.io.Closer;
import com.google.common.io.MoreFiles;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.wigeonstage.common.Polling;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.platform.standin.Rehearsal;
import org.wigeonstage.platform.standin.StoreStandin;

/**
 * Guards against sound streams that a gateway cuts in the first seconds after its start, while the
 * configuration and the list of servers change and other callers leave.
 *
 * <p>The system properties {@code first.seed} and {@code first.seeds} set the first seed and the
 * number of seeds.
 */
class FirstStreamsIT {

  private static final long FIRST_SEED = Long.getLong("first.seed", 1);
  private static final int SEEDS = Integer.getInteger("first.seeds", 2);
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final Duration TRAFFIC_DURATION = Duration.ofMillis(1500);
  private static final Duration IDLE_TIME = Duration.ofSeconds(8);
  private static final Duration MAX_STREAM_DURATION = Duration.ofMillis(1500);
  private static final long CHANGE_INTERVAL_MILLIS = 20;
  private static final int SERVERS = 4;
  private static final int CALLERS = 20;
  private static final int LEAVING_CALLERS = 4;

  private final Closer closer = Closer.create();
  private final SoakClock clock = new SoakClock();
  private final List<SoakServer> servers = new ArrayList<>();
  private final Queue<SoakCall> calls = new ConcurrentLinkedQueue<>();
  private final Queue<Throwable> failures = new ConcurrentLinkedQueue<>();
  private StoreStandin store;
  private RestartableGateway gateway;
  private Path directory;
  private int configurationVersion;
  private long routeTimeoutMillis = TIMEOUT.toMillis();
  private volatile boolean isStopping;

  /** What a thread of the test does. */
  @FunctionalInterface
  private interface Task {
    void run() throws Exception;
  }

  static LongStream seeds() {
    return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
  }

  @AfterEach
  void stop() throws IOException {
    isStopping = true;
    closer.close();
  }

  private void start(String name) throws IOException {
    directory = Path.of("target", "first-streams", name);
    if (Files.exists(directory)) {
      MoreFiles.deleteRecursively(directory);
    }
    Files.createDirectories(directory);
    store = closer.register(StoreStandin.start(new Endpoint("127.0.0.1", 0)));
    writeConfiguration();
    for (int i = 1; i <= SERVERS; i++) {
      SoakServer server = closer.register(new SoakServer("server-" + i, 1, clock));
      servers.add(server);
      store.write("servers", server.id(), server.registration("ready"));
    }
    gateway = closer.register(new RestartableGateway("gateway-1", directory, store.endpoint()));
    gateway.changeSetting("logOneIn", 1);
    gateway.startAsDeployed();
  }

  /** Writes a configuration that adds a key and revokes the one that the version before added. */
  private void writeConfiguration() {
    configurationVersion++;
    ObjectNode configuration = Rehearsal.configuration().put("version", configurationVersion);
    configuration
        .withArray("routes")
        .forEach(
            route ->
                ((ObjectNode) route)
                    .put("timeout_ms", routeTimeoutMillis)
                    .put("resumable", false)
                    .put("max_attempts", 1));
    ((ObjectNode) configuration.withArray("tenants").get(0))
        .withArray("api_keys")
        .add("key-" + configurationVersion);
    store.write("config", "main", configuration);
  }

  /** Changes the configuration, and removes, replaces or drains any server but the first. */
  private void changeRepeatedly(SplittableRandom random) {
    while (!isStopping) {
      writeConfiguration();
      SoakServer server = servers.get(random.nextInt(1, SERVERS));
      String replacement = server.id() + "-replacement";
      switch (random.nextInt(6)) {
        case 0 -> store.remove("servers", server.id());
        case 1 -> store.write("servers", server.id(), server.registration("draining"));
        case 2 -> {
          store.remove("servers", server.id());
          store.write("servers", replacement, server.registration("ready"));
        }
        case 3 ->
            store.write(
                "servers",
                "refusing",
                server.registration("ready").put("address", FreeEndpoints.next().toString()));
        case 4 -> store.remove("servers", "refusing");
        default -> {
          store.remove("servers", replacement);
          store.write("servers", server.id(), server.registration("ready"));
        }
      }
      ProcessFleet.sleep(CHANGE_INTERVAL_MILLIS);
    }
  }

  private void callRepeatedly(String name, SplittableRandom random) throws IOException {
    int number = 0;
    while (!isStopping) {
      try (SoakConnection connection =
          new SoakConnection(
              gateway.callerEndpoint(), random.nextInt(10) == 0, (int) TIMEOUT.toMillis(), clock)) {
        boolean isKept = true;
        for (int i = 0; i < 5 && isKept && !isStopping; i++) {
          SoakCall call =
              new SoakCall(name + "." + number++, gateway.name(), name, i + 1, request(random));
          calls.add(call);
          isKept = connection.exchange(call);
        }
      }
    }
  }

  private static SoakRequest request(SplittableRandom random) {
    if (random.nextInt(3) == 0) {
      return SoakRequest.plain(random.nextInt(20), random.nextInt(3000));
    }
    int events = random.nextInt(2, 60);
    return SoakRequest.stream(events, random.nextLong(1, MAX_STREAM_DURATION.toMillis() / 60));
  }

  /** Sends requests and resets the connections while they run. */
  private void leaveRepeatedly(String name, SplittableRandom random) throws IOException {
    for (int number = 0; !isStopping; number++) {
      try (Socket socket =
          new Socket(gateway.callerEndpoint().host(), gateway.callerEndpoint().port())) {
        String request =
            "POST /stream/x?0,0,0,30,5 HTTP/1.1\r\nHost: 127.0.0.1\r\nAttempt-Id: %s.%d\r\nCredential: key\r\nToken-Count: 10,30\r\nContent-Length: 0\r\n\r\n"
                .formatted(name, number);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
        ProcessFleet.sleep(random.nextInt(60));
        socket.setSoLinger(true, 0);
      }
    }
  }

  private Thread startThread(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                failures.add(e);
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private boolean isListening() {
    try (Socket socket =
        new Socket(gateway.callerEndpoint().host(), gateway.callerEndpoint().port())) {
      return socket.isConnected();
    } catch (IOException e) {
      return false;
    }
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void soundStreamsAreNotCut(long seed) throws Exception {
    start("busy-" + seed);
    assertThat(Polling.await(this::isListening, TIMEOUT)).isTrue();
    runTraffic(seed);
    assertNothingWasCut();
  }

  /**
   * The age of a request includes none of the time for which the gateway had no requests, also if
   * the gateway has so little processor time that it reads late.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void soundStreamsAreNotCutAfterATimeWithoutRequests(long seed) throws Exception {
    routeTimeoutMillis = IDLE_TIME.dividedBy(2).plus(MAX_STREAM_DURATION).toMillis();
    start("idle-" + seed);
    assertThat(Polling.await(this::isListening, TIMEOUT)).isTrue();
    ProcessFleet.sleep(IDLE_TIME.toMillis());
    gateway.throttle();
    runTraffic(seed);
    assertNothingWasCut();
    assertThat(gateway.logLines("TIMED_OUT")).isEmpty();
  }

  /** A request that is sent after the gateway was suspended did not wait meanwhile. */
  @ParameterizedTest
  @MethodSource("seeds")
  @Tag("known-red")
  void soundStreamsAreNotCutAfterASuspensionWithoutRequests(long seed) throws Exception {
    routeTimeoutMillis = IDLE_TIME.dividedBy(2).plusMillis(400).toMillis();
    start("suspended-" + seed);
    assertThat(Polling.await(this::isListening, TIMEOUT)).isTrue();
    gateway.signal("STOP");
    ProcessFleet.sleep(IDLE_TIME.toMillis());
    gateway.signal("CONT");
    gateway.throttle();
    runTraffic(seed);
    assertNothingWasCut();
    assertThat(gateway.logLines("TIMED_OUT")).isEmpty();
  }

  private void runTraffic(long seed) throws InterruptedException {
    SplittableRandom random = new SplittableRandom(seed);
    List<Thread> threads = new ArrayList<>();
    SplittableRandom changes = random.split();
    threads.add(startThread(() -> changeRepeatedly(changes)));
    for (int i = 0; i < CALLERS; i++) {
      String name = "caller-" + i;
      SplittableRandom own = random.split();
      threads.add(startThread(() -> callRepeatedly(name, own)));
    }
    for (int i = 0; i < LEAVING_CALLERS; i++) {
      String name = "leaving-" + i;
      SplittableRandom own = random.split();
      threads.add(startThread(() -> leaveRepeatedly(name, own)));
    }
    ProcessFleet.sleep(TRAFFIC_DURATION.toMillis());
    isStopping = true;
    for (Thread thread : threads) {
      thread.join(TIMEOUT.toMillis());
    }
  }

  private void assertNothingWasCut() throws IOException {
    assertThat(failures).isEmpty();
    List<String> cutCalls =
        calls.stream()
            .filter(call -> call.status == 200 && call.result != SoakCall.Result.COMPLETE)
            .map(SoakCall::toString)
            .toList();
    List<String> cutRuns =
        servers.stream()
            .flatMap(server -> server.runs().stream())
            .filter(run -> run.requestId.startsWith("caller") && !run.result.equals("completed"))
            .map(SoakServer.Run::toString)
            .toList();
    long streams =
        calls.stream().filter(SoakCall::isSuccess).filter(c -> c.request.isStream()).count();
    Files.writeString(
        directory.resolve("report.txt"),
        "%d calls, %d streams, cut %s, cut runs %s%n%s%n"
            .formatted(
                calls.size(),
                streams,
                cutCalls,
                cutRuns,
                calls.stream()
                    .collect(
                        Collectors.groupingBy(
                            call -> call.result + " " + call.status, Collectors.counting()))));
    assertThat(cutCalls).isEmpty();
    assertThat(cutRuns).isEmpty();
    assertThat(gateway.logLines("GRIZZLY0013")).isEmpty();
    assertThat(gateway.logLines("Error")).isEmpty();
    assertThat(streams).isPositive();
  }
}
