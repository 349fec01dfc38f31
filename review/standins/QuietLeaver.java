import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The platform's store turns one of four gateways away while one of eight runners leaves. The runner reports that to the
 * store and says so in all its answers, serves on for the drain time and a little longer, and exits.
 */
final class QuietLeaver {

  private static final long DRAIN_MILLIS = 2000;
  private static final long OUTAGE_MILLIS = 4500;
  private static final long LEAVES_AFTER_MILLIS = 50;

  /** The drain time and a little longer. */
  private static final long EXITS_AFTER_MILLIS = DRAIN_MILLIS + 700;

  private static final long SEND_INTERVAL_MILLIS = 10;
  private static final long WORK_MILLIS = 200;

  private final Rig rig;
  private final Map<String, Long> sentAt = new ConcurrentHashMap<>();
  private final AtomicBoolean isLeaving = new AtomicBoolean();
  private final AtomicLong passedOnAt = new AtomicLong();
  private final AtomicInteger late = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();

  private QuietLeaver(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] args) throws Exception {
    System.exit(run(Path.of(args[0])));
  }

  private static int run(Path recordFile) throws Exception {
    try (Rig rig = new Rig(recordFile)) {
      return new QuietLeaver(rig).play();
    } catch (IOException e) {
      e.printStackTrace();
      return Rig.NOT_RUN;
    }
  }

  private int play() throws Exception {
    rig.configure(List.of(Rig.route("order", "non_idempotent", "portal", 1)), List.of("portal"));
    Runner leaving = rig.startRunner("runner-1", "portal", 6, this::handle);
    for (int i = 2; i <= 8; i++) {
      rig.startRunner("runner-" + i, "portal", 6, this::handle);
    }
    StoreProxy proxy = new StoreProxy(rig.store.endpoint());
    Rig.GatewayProcessHandle gateway = rig.startGateway("gateway-1", proxy.endpoint());
    for (int i = 2; i <= 4; i++) {
      rig.startGateway("gateway-" + i); // the store serves these all the time
    }
    Thread.sleep(1000);
    proxy.awaitConfigurationAnswer();
    Thread.sleep(20); // the gateway handles the answer
    long outageAt = System.nanoTime();
    if (rig.trouble) {
      proxy.setResetting(true);
      rig.log("the store turns gateway-1 away");
    }
    List<Thread> senders = new ArrayList<>();
    boolean hasExited = false;
    for (int i = 0; millisSince(outageAt) < OUTAGE_MILLIS; i++) {
      long elapsed = millisSince(outageAt);
      if (elapsed >= LEAVES_AFTER_MILLIS && isLeaving.compareAndSet(false, true)) {
        rig.log("runner-1 leaves");
        rig.register(leaving, "portal", 6, "draining");
      }
      if (elapsed >= LEAVES_AFTER_MILLIS + EXITS_AFTER_MILLIS && !hasExited) {
        hasExited = true;
        rig.log("runner-1 exits");
        rig.store.remove("servers", leaving.id());
        leaving.close();
      }
      String id = "order-" + i;
      Thread sender = new Thread(() -> send(gateway, id));
      sender.start();
      senders.add(sender);
      Thread.sleep(SEND_INTERVAL_MILLIS);
    }
    proxy.setResetting(false);
    for (Thread sender : senders) {
      sender.join();
    }
    rig.log(
        "answered 200: "
            + served
            + ", refused: "
            + refused
            + ", lost after they had run: "
            + lost
            + ", reached the leaving runner too late: "
            + late);
    if (passedOnAt.get() == 0 && rig.trouble) {
      return Rig.NOT_RUN;
    }
    return late.get() > 0 ? Rig.BROKEN : Rig.HELD;
  }

  private static long millisSince(long nanos) {
    return (System.nanoTime() - nanos) / 1_000_000;
  }

  private void send(Rig.GatewayProcessHandle gateway, String id) {
    try (Client client = new Client(gateway.callersPort(), 5000)) {
      sentAt.put(id, System.nanoTime());
      client.send(
          "POST",
          "/order/x",
          "review.example",
          List.of("Attempt-Id: " + id, "Deadline-Ms: 1000"),
          "order".getBytes());
      Client.Answer answer = client.receive();
      rig.log("client receives " + answer.status() + " for " + id);
      count(answer.status());
      if (answer.fields().containsKey("server-leaving")
          && passedOnAt.compareAndSet(0, System.nanoTime())) {
        rig.log("the gateway has passed on an answer with Server-Leaving");
      }
    } catch (IOException e) {
      count(0);
      rig.log("client receives no answer for " + id + ": " + e.getMessage());
    }
  }

  private void count(int status) {
    if (status == 200) {
      served.incrementAndGet();
    } else {
      (status == 503 ? refused : lost).incrementAndGet();
    }
  }

  private boolean handle(Runner.Request request, Runner.Connection connection) throws Exception {
    String id = request.attemptId();
    String runner = connection.runner().id();
    boolean leaves = runner.equals("runner-1") && isLeaving.get();
    long passedOn = passedOnAt.get();
    if (leaves && passedOn != 0 && sentAt.get(id) - passedOn > DRAIN_MILLIS * 1_000_000) {
      late.incrementAndGet();
      rig.log(
          "DRAIN: "
              + id
              + " was sent "
              + (sentAt.get(id) - passedOn) / 1_000_000
              + " ms after the answer was passed on, and reaches the leaving runner");
    }
    connection.runner().recordRun(request);
    Thread.sleep(WORK_MILLIS);
    connection.write(
        "HTTP/1.1 200 OK\r\nAttempt-Id: "
            + id
            + "\r\nResponse-Signature: s-"
            + id
            + "\r\n"
            + (leaves ? "Server-Leaving: 1\r\n" : "")
            + "Content-Length: "
            + runner.length()
            + "\r\n\r\n"
            + runner);
    return true;
  }
}
