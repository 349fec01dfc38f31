package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** A gateway process, started with the command and the template of the deploy file. */
final class Gateway {

  private static final List<Process> STARTED = new ArrayList<>();

  static {
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
  }

  private final String name;
  private final Path folder;
  private final Map<String, String> values = new TreeMap<>();
  private final String callers;
  private final String readiness;
  private final String host;
  private Process process;
  private int starts;

  Gateway(String name, String host, String store, Path folder) throws IOException {
    this.name = name;
    this.host = host;
    this.folder = folder;
    this.callers = host + ":" + freePort(host);
    this.readiness = host + ":" + freePort(host);
    put("node", name, true);
    put("zone", "z-a", true);
    put("listen_addrs.front", callers, true);
    put("listen_addrs.ready", readiness, true);
    values.put("{{ip}}:{{port_range.0}}", host + ":" + freePort(host));
    values.put("{{ip}}:9464", host + ":" + freePort(host));
    put("platform.address", store, true);
    put("contract_params.revoke_ms", "5000", false);
    put("contract_params.config_apply_ms", "2000", false);
    put("contract_params.drain_ms", "2000", false);
    put("contract_params.retry_budget_ratio", "0.2", false);
    put("contract_params.budget_extra", "54", false);
    put("contract_params.budget_window_s", "10", false);
    put("contract_params.quota_window_s", "8", false);
    put("contract_params.quota_overage", "0.1", false);
    put("contract_params.quota_slack", "140000", false);
    put("contract_params.grace_s", "8", false);
    put(
        "active_contracts",
        "[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\","
            + "\"tenants\",\"quota\",\"platform\"]",
        false);
    put("limits.memory_mb", "430", false);
  }

  private void put(String placeholder, String value, boolean isText) {
    values.put("{{" + placeholder + "|json}}", isText ? "\"" + value + "\"" : value);
  }

  static int freePort(String host) throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(InetAddress.getByName(host), 0));
      return socket.getLocalPort();
    }
  }

  String callers() {
    return callers;
  }

  String name() {
    return name;
  }

  /** Starts the process; {@code bootstrap} is true only for the first start of the system. */
  void start(boolean isFirstStart) throws IOException {
    put("bootstrap", Boolean.toString(isFirstStart), false);
    String text = Files.readString(Path.of("deploy/gateway.json.template"));
    int section = text.indexOf("{{#contract_params.expose_share}}");
    String end = "{{/contract_params.expose_share}}";
    text = text.substring(0, section) + text.substring(text.indexOf(end) + end.length());
    for (Map.Entry<String, String> value : values.entrySet()) {
      text = text.replace(value.getKey(), value.getValue());
    }
    Path settings = folder.resolve(name + ".json");
    Files.writeString(settings, text);
    String run = "";
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = \"")) {
        run = line.substring(7, line.length() - 1);
      }
    }
    List<String> command = new ArrayList<>(List.of(run.split(" ")));
    command.set(command.indexOf("/etc/wigeonstage/local.toml"), settings.toString());
    Path log = folder.resolve(name + "-" + ++starts + ".log");
    process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(log.toFile())
            .start();
    STARTED.add(process);
  }

  void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor(5, TimeUnit.SECONDS);
  }

  /** Sends SIGTERM. */
  void terminate() {
    process.destroy();
  }

  boolean awaitEnd(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS);
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Returns the number of open descriptors of the process, or -1 if it is not known. */
  long descriptors() {
    try (java.util.stream.Stream<Path> files = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
      return files.count();
    } catch (IOException e) {
      return -1;
    }
  }

  /** Asks whether the gateway is ready, as the platform does. */
  boolean isReady() {
    int colon = readiness.indexOf(':');
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(host, Integer.parseInt(readiness.substring(colon + 1))), 500);
      socket.setSoTimeout(500);
      socket
          .getOutputStream()
          .write(("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").getBytes());
      return new String(socket.getInputStream().readAllBytes()).startsWith("HTTP/1.1 200");
    } catch (IOException e) {
      return false;
    }
  }

  /** Waits until the gateway is ready; returns false if it is not after some time. */
  boolean awaitReady(long millis) throws InterruptedException {
    long until = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < until) {
      if (isReady()) {
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }
}
