package review2;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The store turns one of three gateways away while a key is taken away, and then comes back from a
 * copy some seconds old. Exits with 1 if a request with the key runs later than the bound.
 */
final class EqualVersion {

  private static final long REVOKE_MILLIS = 5000;

  public static void main(String[] arguments) throws Exception {
    boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
    Record record = new Record(Path.of(arguments[0]));
    Path folder = Files.createTempDirectory("case");
    Store store = new Store("127.0.0.1");
    store.start();
    store.put("config", "main", Configurations.plain(7, "\"key-kept\",\"key-taken\""));
    Runner runner = new Runner("127.0.0.1", "i-1", "portal", 14, 20, record);
    runner.start();
    runner.registerAt(store);
    StorePath path = new StorePath(store.address());
    List<Gateway> gateways =
        List.of(
            new Gateway("edge-a-1", "127.0.0.1", store.address(), folder),
            new Gateway("edge-a-2", "127.0.0.1", store.address(), folder),
            new Gateway("edge-a-3", "127.0.0.1", path.address(), folder));
    for (Gateway gateway : gateways) {
      gateway.start(true);
    }
    for (Gateway gateway : gateways) {
      if (!gateway.awaitReady(15_000)) {
        record.write("a gateway did not become ready");
        System.exit(2);
      }
    }
    Client client = new Client(record);
    Thread.sleep(2000);
    for (Gateway gateway : gateways) {
      if (send(client, gateway, "key-taken").status() != 200) {
        record.write("the key did not work before it was taken away");
        System.exit(2);
      }
    }
    Store.Copy copy = store.copy();
    Thread.sleep(500);
    if (isTroubled) {
      path.turnAway(true);
      record.write("the store turns edge-a-3 away");
    }
    Thread.sleep(300);
    store.put("config", "main", Configurations.plain(8, "\"key-kept\""));
    long takenAt = record.millis();
    record.write("operator: version 8 without the key key-taken was acknowledged");
    sleepUntil(record, takenAt + 4300);
    if (isTroubled) {
      store.goAway();
      record.write("the store is away");
    }
    sleepUntil(record, takenAt + 5000);
    long restoredAt = record.millis();
    if (isTroubled) {
      store.restore(copy);
      record.write("the store is back from a copy, in the next era");
      // The operator writes again what was lost, two seconds after the store is back.
      HttpEndpoint.daemon(
          () -> {
            Thread.sleep(2000);
            store.put("config", "main", Configurations.plain(8, "\"key-kept\""));
            record.write("operator: version 8 was written again");
          });
    }
    sleepUntil(record, takenAt + 5200);
    if (isTroubled) {
      path.turnAway(false);
      record.write("the store serves edge-a-3 again");
    }
    int broken = 0;
    while (record.millis() < restoredAt + 6000) {
      for (Gateway gateway : gateways) {
        Client.Answer answer = send(client, gateway, "key-taken");
        if (answer.status() == 200 && answer.sentAt() > takenAt + REVOKE_MILLIS) {
          broken++;
          record.write("BROKEN: " + answer.attempt() + " ran with a key that was taken away "
              + (answer.sentAt() - takenAt) + " ms before it was sent, at " + gateway.name());
        }
      }
      Thread.sleep(100);
    }
    boolean isBack = true;
    for (Gateway gateway : gateways) {
      isBack &= send(client, gateway, "key-kept").status() == 200;
    }
    record.write(broken + " requests ran with the key; the other key works again: " + isBack);
    System.exit(broken > 0 ? 1 : isBack ? 0 : 2);
  }

  private static Client.Answer send(Client client, Gateway gateway, String key) {
    return client.send(gateway.callers(), Configurations.head(key), 1000);
  }

  private static void sleepUntil(Record record, long millis) throws InterruptedException {
    Thread.sleep(Math.max(0, millis - record.millis()));
  }
}
