package review2;

import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A key is taken away; later the store comes back from a copy some seconds old while a gateway is
 * restarted. Exits with 1 if a request with the key runs later than the bound.
 */
final class RestoredKey {

  private static final long REVOKE_MILLIS = 5000;

  public static void main(String[] arguments) throws Exception {
    boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
    Record record = new Record(Path.of(arguments[0]));
    Path folder = Files.createTempDirectory("case");
    Store store = new Store("127.0.0.1");
    store.start();
    store.put("config", "main", Configurations.plain(7, "\"key-kept\",\"key-taken\""));
    Runner runner = new Runner("127.0.0.1", "i-1", "portal", 6, 20, record);
    runner.start();
    runner.registerAt(store);
    Gateway first = new Gateway("edge-a-1", "127.0.0.1", store.address(), folder);
    Gateway second = new Gateway("edge-a-2", "127.0.0.1", store.address(), folder);
    first.start(true);
    second.start(true);
    if (!first.awaitReady(15000) || !second.awaitReady(15000)) {
      record.write("the gateways did not become ready");
      System.exit(2);
    }
    Client client = new Client(record);
    Thread.sleep(1500);
    int before =
        send(client, first, "key-taken").status() + send(client, second, "key-taken").status();
    if (before != 400) {
      record.write("the key did not work before it was taken away");
      System.exit(2);
    }
    Store.Copy copy = store.copy();
    Thread.sleep(500);
    store.put("config", "main", Configurations.plain(8, "\"key-kept\""));
    long takenAt = record.millis();
    record.write("operator: version 8 without the key key-taken was acknowledged");
    Thread.sleep(2500);
    boolean isRejected =
        send(client, first, "key-taken").status() == 401
            && send(client, second, "key-taken").status() == 401;
    if (!isRejected) {
      record.write("the key was not rejected before the trouble");
      System.exit(2);
    }
    sleepUntil(record, takenAt + 3500);
    second.kill();
    record.write("gateway edge-a-2 was killed");
    if (isTroubled) {
      store.goAway();
      record.write("the store is away");
    }
    sleepUntil(record, takenAt + 4200);
    if (isTroubled) {
      store.restore(copy);
      record.write("the store is back from a copy, in the next era");
    }
    second.start(false);
    record.write("gateway edge-a-2 was started");
    long restoredAt = record.millis();
    // The operator writes again what was lost, two seconds after the store is back.
    HttpEndpoint.daemon(
        () -> {
          Thread.sleep(2000);
          if (isTroubled) {
            store.put("config", "main", Configurations.plain(8, "\"key-kept\""));
            record.write("operator: version 8 was written again");
          }
        });
    sleepUntil(record, takenAt + REVOKE_MILLIS + 100);
    int broken = 0;
    while (record.millis() < restoredAt + 6000) {
      for (Gateway gateway : new Gateway[] {first, second}) {
        Client.Answer answer = send(client, gateway, "key-taken");
        if (answer.status() == 200 && answer.sentAt() > takenAt + REVOKE_MILLIS) {
          broken++;
          record.write("BROKEN: " + answer.attempt() + " ran with a key that was taken away "
              + (answer.sentAt() - takenAt) + " ms before it was sent, at " + gateway.name());
        }
      }
      Thread.sleep(100);
    }
    boolean isBack = send(client, second, "key-kept").status() == 200;
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
