package org.wigeonstage.system;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.io.Closer;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wigeonstage.common.Polling;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.platform.standin.Rehearsal;
import org.wigeonstage.platform.standin.RunnerStandin;
import org.wigeonstage.platform.standin.StoreStandin;

/** A gateway as a process of the operating system, and signals to it. */
class GatewayProcessesIT {

  private static final Endpoint ANY_PORT = new Endpoint("127.0.0.1", 0);
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  /** Takes a slow reader over three seconds. */
  private static final int LARGE_ANSWER_BYTES = 25_000_000;

  private final Closer closer = Closer.create();
  private StoreStandin store;
  private RunnerStandin runner;
  private GatewayHandle gateway;

  @TempDir private Path directory;

  @BeforeEach
  void startStandins() throws IOException {
    store = closer.register(StoreStandin.start(ANY_PORT));
    runner = closer.register(RunnerStandin.start("runner-1", ANY_PORT));
    store.write("config", "main", Rehearsal.configuration());
    store.write("servers", "runner-1", runner.entry("engines", "ready"));
    gateway = closer.register(new GatewayHandle("gateway-1", directory, store.endpoint()));
  }

  @AfterEach
  void stop() throws IOException {
    closer.close();
  }

  @Test
  void startsWithoutWhatTakesLongToLoad() throws Exception {
    Path classes = directory.resolve("classes.log");
    startGateway("-Xlog:class+load:file=" + classes);
    awaitAnswer("first");
    Thread.sleep(200);
    try (Stream<String> lines = Files.lines(classes)) {
      assertThat(lines)
          .noneMatch(line -> line.contains("jackson.databind.ObjectMapper "))
          .noneMatch(line -> line.contains("sun.management.spi.PlatformMBeanProvider "))
          .noneMatch(line -> line.contains("java.text.DateFormatSymbols "));
    }
  }

  @Test
  void servesAgainAfterItWasKilled() throws Exception {
    Process first = startGateway();
    awaitAnswer("before");
    first.destroyForcibly().waitFor();
    startGateway();
    awaitAnswer("after");
  }

  @Test
  void goesOnAfterHangupAndTakesOverChangedLimits() throws Exception {
    Process process = startGateway();
    awaitAnswer("before");
    gateway.signal("HUP");
    awaitAnswer("after");
    gateway.touchSettings();
    gateway.signal("HUP");
    assertThat(Polling.await(() -> logHas("settings-reloaded"), TIMEOUT)).isTrue();
    assertThat(process.isAlive()).isTrue();
  }

  @Test
  void finishesOpenStreamsAfterTheSignalToStop() throws Exception {
    Process process = startGateway();
    awaitAnswer("before");
    try (Socket stream = send("/stream/x", "last", "Token-Count: 10,20\r\n")) {
      assertThat(Polling.await(() -> hasRun("last"), TIMEOUT)).isTrue();
      gateway.signal("TERM");
      assertThat(readAll(stream)).startsWith("HTTP/1.1 200").endsWith("\r\n0\r\n\r\n");
    }
    assertThat(gateway.awaitEnd(TIMEOUT)).isTrue();
    assertThat(process.exitValue()).isZero();
    assertThat(logHas("\"event\":\"stopped\",\"openRequests\":0")).isTrue();
  }

  /** LOST: requests that were read, and passed on, ended with their connection. */
  @Test
  void answersEveryRequestThatItReadBeforeItStopped() throws Exception {
    SoakPlan plan = SoakPlan.leaving(12, 3, 5);
    try (SoakRun soak = new SoakRun(plan, directory.resolve("soak"))) {
      assertThat(soak.run()).isEmpty();
    }
  }

  /** LOST: an answer was cut that waited for its reader. */
  @Test
  void givesSlowReadersTheirWholeAnswersBeforeItStops() throws Exception {
    SoakClock clock = new SoakClock();
    SoakServer server = closer.register(new SoakServer("server-1", 1, clock));
    ObjectNode configuration = Rehearsal.configuration();
    configuration
        .withArray("routes")
        .forEach(route -> ((ObjectNode) route).put("timeout_ms", TIMEOUT.toMillis()));
    store.write("config", "main", configuration);
    store.remove("servers", "runner-1");
    store.write("servers", "server-1", server.entry("ready"));
    startGateway();
    awaitAnswer("before");
    SoakCall call =
        new SoakCall("slow", "gateway-1", "first", 1, SoakWork.plain(0, LARGE_ANSWER_BYTES));
    try (SoakConnection connection =
        new SoakConnection(gateway.callers(), true, (int) TIMEOUT.toMillis(), clock)) {
      Thread caller = new Thread(() -> connection.exchange(call));
      caller.start();
      assertThat(Polling.await(() -> !server.runs().isEmpty(), TIMEOUT)).isTrue();
      gateway.signal("TERM");
      caller.join();
    }
    assertThat(call.end).as("%s", call).isEqualTo(SoakCall.End.WHOLE);
    assertThat(gateway.awaitEnd(TIMEOUT)).isTrue();
  }

  private Process startGateway(String... options) throws IOException {
    return gateway.start(options);
  }

  private boolean logHas(String text) {
    return !gateway.logLines(text).isEmpty();
  }

  private boolean hasRun(String id) {
    return runner.runs().stream().anyMatch(run -> run.attemptId().equals(id));
  }

  private void awaitAnswer(String id) throws InterruptedException {
    int[] count = {0};
    assertThat(Polling.await(() -> isServed(id + count[0]++), TIMEOUT)).isTrue();
  }

  private boolean isServed(String id) {
    try (Socket socket = send("/plain/x", id, "")) {
      return readAll(socket).startsWith("HTTP/1.1 200");
    } catch (IOException e) {
      return false;
    }
  }

  private Socket send(String path, String id, String fields) throws IOException {
    Socket socket = new Socket(gateway.callers().host(), gateway.callers().port());
    socket.setSoTimeout((int) TIMEOUT.toMillis());
    String head =
        "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\nAttempt-Id: %s\r\n"
            + "Deadline-Ms: 5000\r\nCredential: key\r\nContent-Length: 0\r\n%s\r\n";
    socket
        .getOutputStream()
        .write(head.formatted(path, id, fields).getBytes(StandardCharsets.ISO_8859_1));
    return socket;
  }

  private static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }
}
