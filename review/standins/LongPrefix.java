import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three runners crash one after the other while they read prompts that share a long document. Others
 * send short requests to another service. Counts the short requests that have no answer half a
 * second after the time-out of their route.
 */
final class LongPrefix {

  private static final String HOST = "review.example";
  private static final int TIMEOUT_MILLIS = 1000;
  private static final int LATE_MILLIS = TIMEOUT_MILLIS + 500;
  private static final int PATIENCE_MILLIS = 20_000;
  private static final int SHORT_REQUEST_INTERVAL_MILLIS = 40;
  private static final int DURATION_MILLIS = 20_000;
  private static final int AUDITS = 6;
  private static final int CRASHES = 3;
  private static final int CRASH_INTERVAL_MILLIS = 150;
  private static final int DOWN_MILLIS = 250;

  /** The document that the prompts share, in parts of 45 tokens; the head has less than 16 KB. */
  private static final int SHARED_PARTS = 1_200;

  private static final int TOKENS_PER_PART = 45;
  private static final int PROMPT_TOKENS_PER_MILLI = 112;
  private static final int EVENT_GAP_MILLIS = 100;
  private static final int EVENTS = 10;

  private final Rig rig;
  private final Map<String, Runner> reading = new ConcurrentHashMap<>();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger unansweredAtTimeout = new AtomicInteger();
  private final AtomicInteger unansweredLater = new AtomicInteger();
  private final Map<String, Integer> slowestByGateway = new ConcurrentHashMap<>();

  private LongPrefix(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] args) throws Exception {
    System.exit(run(Path.of(args[0])));
  }

  private static int run(Path recordFile) throws Exception {
    try (Rig rig = new Rig(recordFile)) {
      return new LongPrefix(rig).play();
    } catch (IOException e) {
      e.printStackTrace();
      return Rig.NOT_RUN;
    }
  }

  private int play() throws Exception {
    rig.configure(
        List.of(
            Rig.route("status", "idempotent", "portal", 2).put("timeout_ms", TIMEOUT_MILLIS),
            Rig.route("audit", "streaming", "llm", 2)
                .put("timeout_ms", 15_000)
                .put("target_latency_ms", 800)
                .put("resumable", true)),
        List.of("portal", "llm"));
    for (int i = 1; i <= 4; i++) {
      rig.startRunner("portal-" + i, "portal", 6, LongPrefix::answerStatus);
    }
    for (int i = 1; i <= 8; i++) {
      rig.startRunner("llm-" + i, "llm", 14, this::answerAudit);
    }
    Rig.GatewayProcessHandle gateway = rig.startGateway("gateway-1");
    Rig.GatewayProcessHandle peer = rig.startGateway("gateway-2");
    Thread.sleep(3000); // the gateways connect to each other
    List<Thread> senders = new ArrayList<>();
    long startedAt = System.nanoTime();
    boolean hasSentAudits = false;
    for (int i = 0; millisSince(startedAt) < DURATION_MILLIS; i++) {
      String id = "status-" + i;
      Rig.GatewayProcessHandle target = i % 2 == 0 ? gateway : peer;
      senders.add(start(() -> sendStatus(target, id)));
      if (millisSince(startedAt) > 2000 && !hasSentAudits) {
        hasSentAudits = true;
        for (int k = 0; k < AUDITS; k++) {
          String auditId = "audit-" + k;
          senders.add(start(() -> sendAudit(gateway, auditId)));
        }
        if (rig.trouble) {
          senders.add(start(this::crashRunners));
        }
      }
      Thread.sleep(SHORT_REQUEST_INTERVAL_MILLIS);
    }
    for (Thread sender : senders) {
      sender.join();
    }
    rig.log(
        "short requests answered in time: "
            + answered
            + ", unanswered at timeout_ms: "
            + unansweredAtTimeout
            + ", of these still unanswered 500 ms later: "
            + unansweredLater
            + ", slowest answers in ms: "
            + slowestByGateway);
    if (answered.get() == 0) {
      return Rig.NOT_RUN;
    }
    return unansweredLater.get() * 2 > unansweredAtTimeout.get() ? Rig.BROKEN : Rig.HELD;
  }

  private static Thread start(Runnable task) {
    Thread thread = new Thread(task);
    thread.start();
    return thread;
  }

  private static long millisSince(long nanos) {
    return (System.nanoTime() - nanos) / 1_000_000;
  }

  /**
   * Crashes one runner after the other, each while it has an audit whose answer has not begun. The
   * first one is back, as a new incarnation, before the third one crashes, so that no more than two
   * are down at once.
   */
  private void crashRunners() {
    try {
      for (int crashes = 0; crashes < CRASHES; crashes++) {
        Runner runner = null;
        for (int waits = 0; runner == null && waits < 1000; waits++) {
          Thread.sleep(2);
          runner = reading.values().stream().findAny().orElse(null);
        }
        if (runner == null) {
          rig.log("no runner reads a prompt");
          return;
        }
        reading.values().remove(runner);
        runner.crash();
        String newId = runner.id() + "-again";
        start(() -> startAgain(newId));
        Thread.sleep(CRASH_INTERVAL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      rig.log("cannot crash a runner: " + e);
    }
  }

  private void startAgain(String id) {
    try {
      Thread.sleep(DOWN_MILLIS);
      rig.startRunner(id, "llm", 14, this::answerAudit);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      rig.log("cannot start a runner again: " + e);
    }
  }

  private void sendStatus(Rig.GatewayProcessHandle gateway, String id) {
    long sentAt = System.nanoTime();
    String outcome;
    try (Client client = new Client(gateway.callersPort(), PATIENCE_MILLIS)) {
      sentAt = System.nanoTime();
      client.send(
          "GET",
          "/status/x",
          HOST,
          List.of("Attempt-Id: " + id, "Deadline-Ms: " + PATIENCE_MILLIS),
          new byte[0]);
      outcome = "receives " + client.receive().status();
    } catch (IOException e) {
      outcome = "receives no answer (" + e.getMessage() + ")";
    }
    int millis = (int) millisSince(sentAt);
    rig.log(
        "client " + outcome + " for " + id + " at " + gateway.name() + " after " + millis + " ms");
    slowestByGateway.merge(gateway.name(), millis, Math::max);
    if (millis <= TIMEOUT_MILLIS) {
      answered.incrementAndGet();
    } else {
      unansweredAtTimeout.incrementAndGet();
      if (millis > LATE_MILLIS) {
        unansweredLater.incrementAndGet();
      }
    }
  }

  private void sendAudit(Rig.GatewayProcessHandle gateway, String id) {
    StringBuilder prefix = new StringBuilder("Prompt-Prefix: ");
    for (int i = 0; i < SHARED_PARTS; i++) {
      prefix.append(String.format("%08x:%d,", i * 0x9e3779b1, TOKENS_PER_PART));
    }
    prefix.append(String.format("%08x:%d", id.hashCode(), TOKENS_PER_PART));
    int tokens = (SHARED_PARTS + 1) * TOKENS_PER_PART;
    rig.log("client sends " + id + " with " + prefix.length() + " bytes of Prompt-Prefix");
    try (Client client = new Client(gateway.callersPort(), PATIENCE_MILLIS)) {
      client.send(
          "POST",
          "/audit/x",
          HOST,
          List.of(
              "Attempt-Id: " + id,
              "Deadline-Ms: 15000",
              "Model: m",
              "Token-Count: " + tokens + ",50",
              prefix.toString()),
          "audit".getBytes(StandardCharsets.US_ASCII));
      rig.log("client receives " + client.receive().status() + " for " + id);
    } catch (IOException e) {
      rig.log("client receives no answer for " + id + ": " + e.getMessage());
    }
  }

  private static boolean answerStatus(Runner.Request request, Runner.Connection connection)
      throws Exception {
    connection.runner().recordRun(request);
    Thread.sleep(43);
    connection.write(
        "HTTP/1.1 200 OK\r\nAttempt-Id: "
            + request.attemptId()
            + "\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nok");
    return true;
  }

  private boolean answerAudit(Runner.Request request, Runner.Connection connection)
      throws Exception {
    connection.runner().recordRun(request);
    reading.put(connection.runner().id(), connection.runner());
    Thread.sleep(SHARED_PARTS * TOKENS_PER_PART / PROMPT_TOKENS_PER_MILLI);
    connection.write(
        "HTTP/1.1 200 OK\r\nAttempt-Id: "
            + request.attemptId()
            + "\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n");
    int from = Integer.parseInt(request.fields().getOrDefault("last-event-id", "0"));
    for (int i = from + 1; i <= EVENTS; i++) {
      String event = "id: " + i + "\ndata: x\n\n";
      connection.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
      reading.remove(connection.runner().id());
      Thread.sleep(EVENT_GAP_MILLIS);
    }
    connection.write("0\r\n\r\n");
    return true;
  }
}
