package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All gateways are killed and started again, in a deployment whose earlier machines were removed
 * for good. Exits with 1 if less than a quarter of the requests is served after the time for
 * recovery.
 */
final class RemovedMachines {

  /** The machines that were removed since the first start of the system. */
  private static final int REMOVED = 200;

  private static final long RECOVERY_MILLIS = 12_000;
  private static final long TRAFFIC_MILLIS = 50_000;

  private final Record record;
  private final Client client;
  private final ExecutorService senders = Executors.newCachedThreadPool();

  private RemovedMachines(Record record) {
    this.record = record;
    this.client = new Client(record);
  }

  public static void main(String[] arguments) throws Exception {
    boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
    System.exit(new RemovedMachines(new Record(Path.of(arguments[0]))).run(isTroubled));
  }

  private int run(boolean isTroubled) throws Exception {
    Path folder = Files.createTempDirectory("case");
    Store store = new Store("127.0.0.1");
    store.start();
    store.put("config", "main", Configurations.plain(7, "\"key\""));
    Runner runner = new Runner("127.0.0.1", "i-1", "portal", 14, 20, record);
    runner.start();
    runner.registerAt(store);
    List<Gateway> gateways = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      gateways.add(new Gateway("edge-a-" + i, "127.0.0.1", store.address(), folder));
    }
    for (Gateway gateway : gateways) {
      gateway.start(true);
    }
    for (Gateway gateway : gateways) {
      if (!gateway.awaitReady(15_000)) {
        return notRun("a gateway did not become ready");
      }
    }
    Thread.sleep(1500);
    // One machine is removed while the script runs, to see what a removed machine leaves behind.
    Gateway removed = gateways.remove(2);
    removed.terminate();
    record.write("edge-a-3 got SIGTERM and is removed for good");
    if (!removed.awaitEnd(12_000)) {
      return notRun("edge-a-3 did not end");
    }
    if (!store.names("gateways").contains("edge-a-3")) {
      record.write("the registration of edge-a-3 is gone");
      return 0;
    }
    record.write("the store still has " + store.spec("gateways", "edge-a-3") + " for edge-a-3");
    double before = share(gateways, 5000);
    if (before < 0.25) {
      return notRun("too little was served before the fault");
    }
    if (isTroubled) {
      String dark = darkAddress();
      if (dark.isEmpty()) {
        return notRun("no address could be made that does not answer");
      }
      for (int i = 0; i < REMOVED; i++) {
        store.put("gateways", "edge-old-" + i, "{\"address\":\"" + dark + "\"}");
      }
      record.write("the store has what " + REMOVED + " machines left that were removed before");
    }
    for (Gateway gateway : gateways) {
      gateway.kill();
    }
    record.write("all gateways were killed");
    Thread.sleep(1000);
    for (Gateway gateway : gateways) {
      gateway.start(false);
    }
    record.write("all gateways were started");
    Thread.sleep(RECOVERY_MILLIS);
    double after = share(gateways, TRAFFIC_MILLIS);
    for (Gateway gateway : gateways) {
      record.write(gateway.name() + " has " + gateway.descriptors() + " open descriptors, is "
          + (gateway.isReady() ? "ready" : "not ready"));
    }
    record.write("served before the fault: " + before + ", later than the time for recovery: "
        + after);
    if (after < 0.25) {
      record.write("BROKEN: less than a quarter is served");
      return 1;
    }
    return 0;
  }

  private int notRun(String reason) {
    record.write(reason);
    return 2;
  }

  /** Sends requests to all gateways for a time, and returns the share that was served. */
  private double share(List<Gateway> gateways, long millis) throws InterruptedException {
    AtomicInteger sent = new AtomicInteger();
    AtomicInteger served = new AtomicInteger();
    long until = record.millis() + millis;
    while (record.millis() < until) {
      for (Gateway gateway : gateways) {
        sent.incrementAndGet();
        senders.execute(
            () -> {
              if (client.send(gateway.callers(), Configurations.head("key"), 1000).status() == 200) {
                served.incrementAndGet();
              }
            });
      }
      Thread.sleep(100);
    }
    Thread.sleep(2500);
    return (double) served.get() / sent.get();
  }

  /** Returns the address of a socket whose queue of new connections is full, or an empty text. */
  private static String darkAddress() throws IOException {
    ServerSocket listener = new ServerSocket();
    listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1);
    for (int i = 0; i < 8; i++) {
      try {
        new Socket().connect(listener.getLocalSocketAddress(), 300);
      } catch (SocketTimeoutException e) {
        return "127.0.0.1:" + listener.getLocalPort();
      }
    }
    return "";
  }
}
