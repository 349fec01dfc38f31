package review2;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer leaves entries among those of the runners that can't be read as such, each within
 * the size that the store allows. Exits with 1 if requests get no answer after their route's time.
 */
final class OddEntries {

  private static final int ENTRIES = 3;

  /** Just below {@code value_bytes}, 1,048,576, with what the store adds. */
  private static final int ENTRY_BYTES = 1_040_000;

  private static final int DEPTH = 95;
  private static final long ROUTE_MILLIS = 1000;
  private static final long LATE_MILLIS = 500;
  private static final long TRAFFIC_MILLIS = 60_000;

  public static void main(String[] arguments) throws Exception {
    boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
    Record record = new Record(Path.of(arguments[0]));
    Path folder = Files.createTempDirectory("case");
    Store store = new Store("127.0.0.1");
    store.start();
    store.put("config", "main", Configurations.plain(7, "\"key\""));
    Runner runner = new Runner("127.0.0.1", "i-1", "portal", 14, 20, record);
    runner.start();
    runner.registerAt(store);
    List<Gateway> gateways =
        List.of(
            new Gateway("edge-a-1", "127.0.0.1", store.address(), folder),
            new Gateway("edge-a-2", "127.0.0.1", store.address(), folder));
    for (Gateway gateway : gateways) {
      gateway.start(true);
    }
    for (Gateway gateway : gateways) {
      if (!gateway.awaitReady(15_000)) {
        record.write("a gateway did not become ready");
        System.exit(2);
      }
    }
    Thread.sleep(2000);
    if (isTroubled) {
      String spec = spec();
      for (int i = 1; i <= ENTRIES; i++) {
        store.put("servers", "odd-" + i, spec);
      }
      record.write("another writer left " + ENTRIES + " entries of " + spec.length() + " bytes");
    }
    Client client = new Client(record);
    ExecutorService senders = Executors.newCachedThreadPool();
    AtomicInteger sent = new AtomicInteger();
    AtomicInteger served = new AtomicInteger();
    AtomicInteger unanswered = new AtomicInteger();
    AtomicInteger late = new AtomicInteger();
    AtomicInteger never = new AtomicInteger();
    long until = record.millis() + TRAFFIC_MILLIS;
    while (record.millis() < until) {
      for (Gateway gateway : gateways) {
        sent.incrementAndGet();
        senders.execute(
            () -> {
              Client.Answer answer = client.send(gateway.callers(), Configurations.head("key"), 8000);
              served.addAndGet(answer.status() == 200 ? 1 : 0);
              if (answer.millis() > ROUTE_MILLIS) {
                unanswered.incrementAndGet();
                late.addAndGet(answer.millis() > ROUTE_MILLIS + LATE_MILLIS ? 1 : 0);
                never.addAndGet(answer.status() == 0 ? 1 : 0);
              }
            });
      }
      Thread.sleep(100);
    }
    Thread.sleep(9500);
    boolean isBroken = late.get() >= 8 && late.get() * 2 > unanswered.get();
    record.write(sent + " requests, " + served + " served; " + unanswered
        + " were unanswered at the route's timeout_ms, " + late + " of them half a second later, "
        + never + " never got an answer");
    for (Gateway gateway : gateways) {
      record.write(gateway.name() + (gateway.isAlive() ? " runs, " : " has ended, ")
          + (gateway.isReady() ? "ready" : "not ready"));
    }
    if (isBroken) {
      record.write("BROKEN: more than half of the unanswered requests have no answer in time");
    }
    System.exit(isBroken ? 1 : served.get() * 2 > sent.get() ? 0 : 2);
  }

  /** Returns an entry of another writer: a service of another type, and deeply nested lists. */
  private static String spec() {
    String nested = "[".repeat(DEPTH) + "]".repeat(DEPTH);
    StringBuilder spec = new StringBuilder("{\"service\":7,\"parts\":[" + nested);
    while (spec.length() + nested.length() + 3 < ENTRY_BYTES) {
      spec.append(',').append(nested);
    }
    return spec.append("]}").toString();
  }
}
