package review2;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** A sound runner of a plain service, which registers itself in the store. */
class Runner extends HttpEndpoint {

  private final String id;
  private final String service;
  private final int slots;
  private final long workMillis;
  private final Record record;
  private final long born = System.currentTimeMillis();
  private final AtomicLong runs = new AtomicLong();

  Runner(String host, String id, String service, int slots, long workMillis, Record record)
      throws IOException {
    super(host);
    this.id = id;
    this.service = service;
    this.slots = slots;
    this.workMillis = workMillis;
    this.record = record;
  }

  long runs() {
    return runs.get();
  }

  /** Registers, and writes the entry again at the interval of heartbeats. */
  final void registerAt(Store store) {
    daemon(
        () -> {
          for (long sequence = 1; true; sequence++) {
            if (!store.isAway()) {
              store.put("servers", id, entry(sequence));
            }
            Thread.sleep(1200);
          }
        });
  }

  private String entry(long sequence) {
    return "{\"service\":\"" + service + "\",\"address\":\"" + address()
        + "\",\"zone\":\"z-a\",\"version\":\"v1\",\"slot_count\":" + slots
        + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":" + sequence
        + ",\"born\":" + born + "}";
  }

  @Override
  boolean handle(Request request, Socket socket) throws IOException {
    String attempt = request.field("Attempt-Id");
    String fields = "Attempt-Id: " + attempt + "\r\nInstance-Id: " + id + "\r\n";
    if (request.path().equals("/healthz")) {
      respond(socket, 200, fields, "");
      return true;
    }
    if (attempt.isEmpty()) {
      respond(socket, 400, fields + "Not-Executed: 1\r\n", "");
      return true;
    }
    if (!request.field("Target-Instance").isEmpty() && !request.field("Target-Instance").equals(id)) {
      respond(socket, 421, fields, "");
      return true;
    }
    runs.incrementAndGet();
    record.write("runner " + id + " runs " + attempt + " tenant " + request.field("Tenant"));
    try {
      Thread.sleep(workMillis);
    } catch (InterruptedException e) {
      return false;
    }
    respond(socket, 200, fields + "Response-Signature: s." + attempt + "\r\n", "done " + attempt);
    return true;
  }
}
