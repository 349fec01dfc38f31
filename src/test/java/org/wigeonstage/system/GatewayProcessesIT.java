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

/** Tests start, signal handling and shutdown of a gateway as an operating system process. */
class GatewayProcessesIT {

  private static final Endpoint ANY_PORT = new Endpoint("127.0.0.1", 0);
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  /** A slow reader takes over three seconds to read this response. */
  private static final int LARGE_RESPONSE_BYTES = 25_000_000;

  private final Closer closer = Closer.create();
  private StoreStandin store;
  private RunnerStandin runner;
  private RestartableGateway gateway;

  @TempDir private Path directory;

  @BeforeEach
  void startStandins() throws IOException {
    store = closer.register(StoreStandin.start(ANY_PORT));
    runner = closer.register(RunnerStandin.start("runner-1", ANY_PORT));
    store.write("config", "main", Rehearsal.configuration());
    store.write("servers", "runner-1", runner.registration("engines", "ready"));
    gateway = closer.register(new RestartableGateway("gateway-1", directory, store.endpoint()));
  }

  @AfterEach
  void stop() throws IOException {
    closer.close();
  }

  /** Guards against a slow start through classes that take long to load. */
  @Test
  void startsWithoutLoadingExpensiveClasses() throws Exception {
    Path classLoadLog = directory.resolve("classes.log");
    startGateway("-Xlog:class+load:file=" + classLoadLog);
    awaitServing("first");
    Thread.sleep(200);
    try (Stream<String> lines = Files.lines(classLoadLog)) {
      assertThat(lines)
          .noneMatch(line -> line.contains("jackson.databind.ObjectMapper "))
          .noneMatch(line -> line.contains("sun.management.spi.PlatformMBeanProvider "))
          .noneMatch(line -> line.contains("java.text.DateFormatSymbols "));
    }
  }

  @Test
  void servesRequestsAfterKillAndRestart() throws Exception {
    Process first = startGateway();
    awaitServing("before");
    first.destroyForcibly().waitFor();
    startGateway();
    awaitServing("after");
  }

  @Test
  void reloadsChangedSettingsOnSighup() throws Exception {
    Process process = startGateway();
    awaitServing("before");
    gateway.signal("HUP");
    awaitServing("after");
    gateway.addUnknownSetting();
    gateway.signal("HUP");
    assertThat(Polling.await(() -> logContains("settings-reloaded"), TIMEOUT)).isTrue();
    assertThat(process.isAlive()).isTrue();
  }

  @Test
  void finishesOpenStreamsAfterSigterm() throws Exception {
    Process process = startGateway();
    awaitServing("before");
    try (Socket stream = send("/stream/x", "last", "Token-Count: 10,20\r\n")) {
      assertThat(Polling.await(() -> hasRun("last"), TIMEOUT)).isTrue();
      gateway.signal("TERM");
      assertThat(readAll(stream)).startsWith("HTTP/1.1 200").endsWith("\r\n0\r\n\r\n");
    }
    assertThat(gateway.awaitExit(TIMEOUT)).isTrue();
    assertThat(process.exitValue()).isZero();
    assertThat(logContains("\"event\":\"stopped\",\"openRequests\":0")).isTrue();
  }

  /**
   * Guards against connections that the stopping gateway closes before it has responded to requests
   * that it had read and forwarded.
   */
  @Test
  void losesNoRequestReadBeforeShutdown() throws Exception {
    SoakPlan plan = SoakPlan.singleShutdown(12, 3, 5);
    try (SoakRun soak = new SoakRun(plan, directory.resolve("soak"))) {
      assertThat(soak.run()).isEmpty();
    }
  }

  /** Guards against responses that a stopping gateway truncates while slow callers read them. */
  @Test
  void deliversCompleteResponsesToSlowReadersBeforeExit() throws Exception {
    SoakClock clock = new SoakClock();
    SoakServer server = closer.register(new SoakServer("server-1", 1, clock));
    ObjectNode configuration = Rehearsal.configuration();
    configuration
        .withArray("routes")
        .forEach(route -> ((ObjectNode) route).put("timeout_ms", TIMEOUT.toMillis()));
    store.write("config", "main", configuration);
    store.remove("servers", "runner-1");
    store.write("servers", "server-1", server.registration("ready"));
    startGateway();
    awaitServing("before");
    SoakCall call =
        new SoakCall("slow", "gateway-1", "first", 1, SoakRequest.plain(0, LARGE_RESPONSE_BYTES));
    try (SoakConnection connection =
        new SoakConnection(gateway.callerEndpoint(), true, (int) TIMEOUT.toMillis(), clock)) {
      Thread caller = new Thread(() -> connection.exchange(call));
      caller.start();
      assertThat(Polling.await(() -> !server.runs().isEmpty(), TIMEOUT)).isTrue();
      gateway.signal("TERM");
      caller.join();
    }
    assertThat(call.result).as("%s", call).isEqualTo(SoakCall.Result.COMPLETE);
    assertThat(gateway.awaitExit(TIMEOUT)).isTrue();
  }

  private Process startGateway(String... options) throws IOException {
    return gateway.start(options);
  }

  private boolean logContains(String text) {
    return !gateway.logLines(text).isEmpty();
  }

  private boolean hasRun(String requestId) {
    return runner.runs().stream().anyMatch(run -> run.attemptId().equals(requestId));
  }

  private void awaitServing(String requestIdPrefix) throws InterruptedException {
    int[] attempts = {0};
    assertThat(Polling.await(() -> isServed(requestIdPrefix + attempts[0]++), TIMEOUT)).isTrue();
  }

  private boolean isServed(String requestId) {
    try (Socket socket = send("/plain/x", requestId, "")) {
      return readAll(socket).startsWith("HTTP/1.1 200");
    } catch (IOException e) {
      return false;
    }
  }

  private Socket send(String path, String requestId, String headerLines) throws IOException {
    Socket socket = new Socket(gateway.callerEndpoint().host(), gateway.callerEndpoint().port());
    socket.setSoTimeout((int) TIMEOUT.toMillis());
    String head =
        "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\nAttempt-Id: %s\r\n"
            + "Deadline-Ms: 5000\r\nCredential: key\r\nContent-Length: 0\r\n%s\r\n";
    socket
        .getOutputStream()
        .write(head.formatted(path, requestId, headerLines).getBytes(StandardCharsets.ISO_8859_1));
    return socket;
  }

  private static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }
}
