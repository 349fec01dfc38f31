package org.wigeonstage.system;

import com.google.common.hash.Hashing;
import com.google.common.io.Closer;
import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.wigeonstage.common.Json;
import org.wigeonstage.config.ChangeRequest;
import org.wigeonstage.http.BlockingCall;
import org.wigeonstage.http.CallFailedException;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.http.HttpResponse;
import org.wigeonstage.request.HttpCall;

/** Runs subcommands of the program as operating system processes on the loopback interface. */
final class ProcessFleet implements Closeable {

  static final String OPERATOR_KEY = "operator-key";
  static final String ACCOUNT_KEY = "account-key";
  private static final String OPERATOR_KEY_HASH = sha256(OPERATOR_KEY);
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  /** How much of a process's log a failure shows. */
  private static final int MAX_LOG_CHARS = 2000;

  private final Closer closer = Closer.create();
  private final HttpClient client = closer.register(HttpClient.start("fleet", 1));
  private final Map<String, Process> processes = new HashMap<>();
  private final Path directory;
  private int windowMax = 16;

  ProcessFleet(Path directory) {
    this.directory = directory;
  }

  static String sha256(String text) {
    return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
  }

  /** Sets the maximum dispatch window of agents that are started afterwards, in requests. */
  void setWindowMax(int maxRequests) {
    windowMax = maxRequests;
  }

  HttpClient client() {
    return client;
  }

  /** Starts a subcommand and appends its output to a log file with the name of the process. */
  Process start(String name, String... arguments) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(
        List.of(
            "-XX:+UseSerialGC",
            "-XX:-UsePerfData",
            "-Xmx96m",
            "-XX:TieredStopAtLevel=1",
            "-cp",
            System.getProperty("java.class.path"),
            "org.wigeonstage.cli.Main"));
    command.addAll(Arrays.asList(arguments));
    File log = directory.resolve(name + ".log").toFile();
    Process process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start();
    processes.put(name, process);
    return process;
  }

  Process process(String name) {
    return processes.get(name);
  }

  Endpoint startPlatform() throws IOException {
    Endpoint endpoint = FreeEndpoints.next();
    start("platform", "standin", "platform", "--listen", endpoint.toString());
    awaitStatusOk("platform", endpoint, "/v1/hosts");
    return endpoint;
  }

  Endpoint startEngine(String name) throws IOException {
    Endpoint endpoint = FreeEndpoints.next();
    start(name, "standin", "engine", "--listen", endpoint.toString(), "--generation", "3");
    awaitStatusOk(name, endpoint, "/v1/load");
    return endpoint;
  }

  Endpoint startService(String name, int delayMillis) throws IOException {
    Endpoint endpoint = FreeEndpoints.next();
    start(
        name,
        "standin",
        "service",
        "--listen",
        endpoint.toString(),
        "--delay",
        Integer.toString(delayMillis));
    awaitStatusOk(name, endpoint, "/standin/runs");
    return endpoint;
  }

  /** Starts an agent and returns its endpoint for operators. */
  Endpoint startAgent(
      String name, String kind, Endpoint entries, Endpoint backendServer, Endpoint platform)
      throws IOException {
    return startAgent(name, kind, "", entries, backendServer, platform);
  }

  /** Starts the agent of a model engine that entries reach through the advertised endpoint. */
  void startAgentBehindProxy(
      Endpoint advertised, String name, Endpoint entries, Endpoint backendServer, Endpoint platform)
      throws IOException {
    startAgent(name, "model", advertised.toString(), entries, backendServer, platform);
  }

  private Endpoint startAgent(
      String name,
      String kind,
      String advertised,
      Endpoint entries,
      Endpoint backendServer,
      Endpoint platform)
      throws IOException {
    Endpoint operators = FreeEndpoints.next();
    Path settings =
        writeSettings(
            name + ".json",
            Map.of(
                "name",
                name,
                "failureDomain",
                "fd-a",
                "kind",
                kind,
                "entries",
                entries.toString(),
                "advertised",
                advertised,
                "windowMax",
                windowMax,
                "operators",
                operators.toString(),
                "backendServer",
                backendServer.toString(),
                "platform",
                platform.toString()));
    start(name, "agent", "--settings", settings.toString());
    awaitStatusOk(name, operators, "/readyz");
    return operators;
  }

  record EntryAddresses(String name, Endpoint callers, Endpoint operators) {}

  EntryAddresses startEntry(String name, Endpoint platform, List<Endpoint> peers)
      throws IOException {
    EntryAddresses addresses = new EntryAddresses(name, FreeEndpoints.next(), FreeEndpoints.next());
    Path settings =
        writeSettings(
            name + ".json",
            Map.of(
                "name", name,
                "failureDomain", "fd-a",
                "callers", addresses.callers().toString(),
                "operators", addresses.operators().toString(),
                "platform", platform.toString(),
                "maxBodyBytes", 65536,
                "peers", peers.stream().map(Endpoint::toString).toList(),
                "operatorKeyHashes", List.of(OPERATOR_KEY_HASH)));
    start(name, "entry", "--settings", settings.toString());
    awaitStatusOk(name, addresses.operators(), "/healthz");
    return addresses;
  }

  private Path writeSettings(String fileName, Object settings) throws IOException {
    return Files.writeString(directory.resolve(fileName), Json.write(settings));
  }

  /** Submits a configuration document with one account and the given pools and rules. */
  void submitConfiguration(EntryAddresses entry, List<?> pools, List<?> rules) throws IOException {
    Map<String, Object> document =
        Map.of(
            "tiers",
            List.of(
                Map.of(
                    "name", "urgent",
                    "startWithinMillis", 20000,
                    "finishWithinMillis", 60000)),
            "accounts",
            List.of(
                Map.of(
                    "name",
                    "account",
                    "keyHashes",
                    List.of(sha256(ACCOUNT_KEY)),
                    "tier",
                    "urgent",
                    "requestsPerSecond",
                    100000)),
            "pools",
            pools,
            "rules",
            rules);
    ChangeRequest change = new ChangeRequest("first", "test", "", 0, Json.toTree(document));
    HttpResponse response =
        call(
            entry.operators(),
            "POST",
            "/v1/configuration",
            Json.write(change),
            Map.of("Authorization", "Bearer " + OPERATOR_KEY));
    if (response.status() != 200) {
      throw new IllegalStateException(
          "configuration rejected with status " + response.status() + ": " + response.text());
    }
    awaitStatusOk(entry.name(), entry.callers(), "/readyz");
  }

  static Map<String, Object> pool(String name, String kind, List<String> members) {
    return Map.of(
        "name",
        name,
        "kind",
        kind,
        "models",
        kind.equals("model") ? List.of("test-model") : List.of(),
        "members",
        members.stream().map(member -> Map.of("name", member, "failureDomain", "fd-a")).toList(),
        "checksFencing",
        true);
  }

  void awaitAvailableAgents(EntryAddresses entry, int count) {
    await(
        () -> {
          String status = call(entry.operators(), "GET", "/v1/status", "", Map.of()).text();
          return status.split("\"available\":true", -1).length - 1 == count;
        },
        count + " available agents");
  }

  HttpResponse call(
      Endpoint target, String method, String path, String body, Map<String, String> fields) {
    HttpCall call =
        new HttpCall(method, path, "application/json", body.getBytes(StandardCharsets.UTF_8));
    return BlockingCall.execute(client, target, call, fields, TIMEOUT);
  }

  HttpResponse callWithAccountKey(Endpoint target, String path, String body) {
    return call(target, "POST", path, body, Map.of("Authorization", "Bearer " + ACCOUNT_KEY));
  }

  /** Waits until the process responds with status 200; fails at once if it has ended. */
  private void awaitStatusOk(String name, Endpoint endpoint, String path) {
    Process process = processes.get(name);
    try {
      await(
          () -> {
            if (!process.isAlive()) {
              throw new AssertionError(name + " ended with exit value " + process.exitValue());
            }
            return call(endpoint, "GET", path, "", Map.of()).status() == 200;
          },
          endpoint + path);
    } catch (AssertionError e) {
      throw new AssertionError(e.getMessage() + describeProcesses(), e);
    }
  }

  /** Returns which processes run, with the end of what each has written. */
  private String describeProcesses() {
    StringBuilder text = new StringBuilder();
    processes.forEach(
        (name, process) ->
            text.append("\n")
                .append(process.isAlive() ? "running " : "ended ")
                .append(name)
                .append(": ")
                .append(endOfLog(name)));
    return text.toString();
  }

  private String endOfLog(String name) {
    try {
      String log = Files.readString(directory.resolve(name + ".log"));
      return log.substring(Math.max(0, log.length() - MAX_LOG_CHARS));
    } catch (IOException e) {
      return "its log can't be read: " + e;
    }
  }

  /** A condition that may throw {@link CallFailedException} while a process is starting. */
  interface Condition {
    boolean holds();
  }

  static void await(Condition condition, String description) {
    long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
    while (System.nanoTime() < deadlineNanos) {
      try {
        if (condition.holds()) {
          return;
        }
      } catch (CallFailedException e) {
        // The process may not be listening yet.
      }
      sleep(20);
    }
    throw new AssertionError("timed out after 30 s waiting for " + description);
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  void signal(String name, String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(name).pid()))
        .start()
        .waitFor();
  }

  int awaitExit(String name) throws InterruptedException {
    Process process = processes.get(name);
    if (!process.waitFor(TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
      throw new AssertionError(name + " did not exit within 30 s");
    }
    return process.exitValue();
  }

  @Override
  public void close() throws IOException {
    for (Process process : processes.values()) {
      process.destroyForcibly();
    }
    closer.close();
  }
}
