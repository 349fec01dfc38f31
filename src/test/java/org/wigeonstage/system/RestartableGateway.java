package org.wigeonstage.system;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.Json;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.platform.standin.Rehearsal;

/** Runs a gateway as an operating system process that keeps its endpoints across restarts. */
final class RestartableGateway implements Closeable {

  private static final Path DEPLOYMENT = Path.of("deploy", "system.toml");

  private final String name;
  private final Endpoint callerEndpoint = FreeEndpoints.next();
  private final Path settingsFile;
  private final Path logFile;
  private final Queue<Process> throttlingProcesses = new ConcurrentLinkedQueue<>();
  private @Nullable Process process;

  RestartableGateway(String name, Path directory, Endpoint store) throws IOException {
    this.name = name;
    this.settingsFile = directory.resolve(name + ".json");
    this.logFile = directory.resolve(name + ".log");
    ObjectNode settings = (ObjectNode) Json.parse(Rehearsal.settings(name, store));
    settings
        .put("callers", callerEndpoint.toString())
        .put("peers", FreeEndpoints.next().toString());
    Files.writeString(settingsFile, settings.toString());
  }

  String name() {
    return name;
  }

  /** Returns the endpoint for callers. */
  Endpoint callerEndpoint() {
    return callerEndpoint;
  }

  /** Changes a setting in the settings file. */
  void changeSetting(String name, long value) throws IOException {
    ObjectNode settings = (ObjectNode) Json.parse(Files.readString(settingsFile));
    Files.writeString(settingsFile, settings.put(name, value).toString());
  }

  /** Changes the settings file by adding a field that the program ignores. */
  void addUnknownSetting() throws IOException {
    changeSetting("x", System.nanoTime());
  }

  Process start(String... options) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx96m"));
    command.addAll(List.of(options));
    command.addAll(List.of("-cp", System.getProperty("java.class.path")));
    command.add("org.wigeonstage.cli.Main");
    return startGateway(command);
  }

  /** Starts the packaged program with the options of the deployment. */
  Process startAsDeployed() throws IOException {
    String run =
        Files.readString(DEPLOYMENT).replaceFirst("(?s).*run = \"java (.*?) gateway .*", "$1");
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of(run.split(" ")));
    return startGateway(command);
  }

  private Process startGateway(List<String> javaCommand) throws IOException {
    List<String> command = new ArrayList<>(javaCommand);
    command.addAll(List.of("gateway", "--settings", settingsFile.toString()));
    Process startedProcess =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
            .start();
    process = startedProcess;
    return startedProcess;
  }

  /** Sends a signal to the process started last. */
  void signal(String signal) throws IOException, InterruptedException {
    if (!signal(current(), signal)) {
      throw new IOException("kill -" + signal + " of " + name + " failed");
    }
  }

  /** Sends a signal to a process and returns whether {@code kill} succeeded. */
  static boolean signal(Process process, String signal) throws IOException, InterruptedException {
    return new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor()
        == 0;
  }

  /** Returns the process started last. */
  Process current() {
    Process startedProcess = process;
    if (startedProcess == null) {
      throw new IllegalStateException(name + " was not started");
    }
    return startedProcess;
  }

  /**
   * Limits the process to 30% of a core until it exits, by alternating SIGSTOP and SIGCONT. The
   * {@code kill} built into the shell costs less than a process for each signal.
   */
  void throttle() throws IOException {
    String script = "while kill -STOP $0 && sleep 0.07; kill -CONT $0; do sleep 0.03; done";
    throttlingProcesses.add(
        new ProcessBuilder("bash", "-c", script, Long.toString(current().pid()))
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start());
  }

  /** Waits for the process to exit and returns whether it did so within the limit. */
  boolean awaitExit(Duration limit) throws InterruptedException {
    return current().waitFor(limit.toMillis(), TimeUnit.MILLISECONDS);
  }

  void kill() throws InterruptedException {
    current().destroyForcibly().waitFor();
  }

  /** Returns the lines of the log that contain a text. */
  List<String> logLines(String text) {
    try {
      return Files.readAllLines(logFile).stream().filter(line -> line.contains(text)).toList();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
    }
    throttlingProcesses.forEach(Process::destroyForcibly);
  }
}
