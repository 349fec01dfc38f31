package org.wigeonstage.system;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.Json;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.platform.standin.Rehearsal;

/** A gateway as a process of the operating system, which keeps its address over restarts. */
final class GatewayHandle implements Closeable {

  /** Ports from here are not given to outgoing connections, so that a restart finds them free. */
  private static final int FIRST_PORT = 20_000;

  private static final int LAST_PORT = 32_000;

  private final String name;
  private final Endpoint callers = stablePort();
  private final Path settingsFile;
  private final Path logFile;
  private final Queue<Process> throttles = new ConcurrentLinkedQueue<>();
  private @Nullable Process process;

  GatewayHandle(String name, Path directory, Endpoint store) throws IOException {
    this.name = name;
    this.settingsFile = directory.resolve(name + ".json");
    this.logFile = directory.resolve(name + ".log");
    ObjectNode settings = (ObjectNode) Json.parse(Rehearsal.settings(name, store));
    settings.put("callers", callers.toString()).put("peers", stablePort().toString());
    Files.writeString(settingsFile, settings.toString());
  }

  private static Endpoint stablePort() {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return new Endpoint("127.0.0.1", socket.getLocalPort());
      } catch (IOException e) {
        // Taken; the next one may be free.
      }
    }
  }

  String name() {
    return name;
  }

  /** Returns where it listens for callers. */
  Endpoint callers() {
    return callers;
  }

  /** Changes one of its settings. */
  void set(String field, long value) throws IOException {
    ObjectNode settings = (ObjectNode) Json.parse(Files.readString(settingsFile));
    Files.writeString(settingsFile, settings.put(field, value).toString());
  }

  /** Adds a field that the program does not know to its settings. */
  void touchSettings() throws IOException {
    set("x", System.nanoTime());
  }

  Process start(String... options) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx96m"));
    command.addAll(List.of(options));
    command.addAll(List.of("-cp", System.getProperty("java.class.path")));
    command.addAll(
        List.of("org.wigeonstage.cli.Main", "gateway", "--settings", settingsFile.toString()));
    Process started =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
            .start();
    process = started;
    return started;
  }

  /** Sends a signal to the process that was started last. */
  void signal(String signal) throws IOException, InterruptedException {
    if (!signal(current(), signal)) {
      throw new IOException("kill -" + signal + " of " + name + " failed");
    }
  }

  /** Sends a signal to a process; returns whether there was one. */
  static boolean signal(Process process, String signal) throws IOException, InterruptedException {
    return new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor()
        == 0;
  }

  /** Returns the process that was started last. */
  Process current() {
    Process started = process;
    if (started == null) {
      throw new IllegalStateException(name + " was not started");
    }
    return started;
  }

  /**
   * Leaves the process three tenths of a core until its end, by stopping it in turns. The shell's
   * own signals cost less than processes that send them.
   */
  void throttle() throws IOException {
    String turns = "while kill -STOP $0 && sleep 0.07; kill -CONT $0; do sleep 0.03; done";
    throttles.add(
        new ProcessBuilder("bash", "-c", turns, Long.toString(current().pid()))
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start());
  }

  /** Waits for the end of the process; returns whether it came in time. */
  boolean awaitEnd(Duration limit) throws InterruptedException {
    return current().waitFor(limit.toMillis(), TimeUnit.MILLISECONDS);
  }

  void kill() throws InterruptedException {
    current().destroyForcibly().waitFor();
  }

  /** Returns the lines of its log that contain a text. */
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
    throttles.forEach(Process::destroyForcibly);
  }
}
