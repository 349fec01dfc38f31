import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many users send photos at once, each within the limit for bodies, while others send short requests
 * to another service. Counts the short requests that have no answer half a second after the time-out
 * of their route.
 */
final class PhotoBurst {

  private static final String HOST = "review.example";
  private static final int TIMEOUT_MILLIS = 1000;
  private static final int LATE_MILLIS = TIMEOUT_MILLIS + 500;
  private static final int PATIENCE_MILLIS = 5000;
  private static final int SHORT_REQUEST_INTERVAL_MILLIS = 50;

  private static final int BURST_MILLIS = 5000;

  /** A quarter of 35.6 photos a second: the usual share of one of four gateways. */
  private static final double USUAL_PHOTOS_PER_SECOND = 8.9;

  private static final double BURST_FACTOR = 1.7;

  /** Less than {@code max_body_bytes}, which is 4,194,304. */
  private static final int PHOTO_BYTES = 3_300_000;

  private static final int PIECE_BYTES = 20_000;
  private static final int PIECE_INTERVAL_MILLIS = 50;
  private static final int DURATION_MILLIS = 30_000;

  private final Rig rig;
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger unansweredAtTimeout = new AtomicInteger();
  private final AtomicInteger unansweredLater = new AtomicInteger();
  private final AtomicInteger photosAnswered = new AtomicInteger();
  private final AtomicInteger photosCut = new AtomicInteger();

  private PhotoBurst(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] args) throws Exception {
    System.exit(run(Path.of(args[0])));
  }

  private static int run(Path recordFile) throws Exception {
    try (Rig rig = new Rig(recordFile)) {
      return new PhotoBurst(rig).play();
    } catch (IOException e) {
      e.printStackTrace();
      return Rig.NOT_RUN;
    }
  }

  private int play() throws Exception {
    rig.configure(
        List.of(
            Rig.route("status", "idempotent", "portal", 2).put("timeout_ms", TIMEOUT_MILLIS),
            Rig.route("photo", "streaming", "llm", 2)
                .put("timeout_ms", 15_000)
                .put("target_latency_ms", 1500)
                .put("resumable", true)),
        List.of("portal", "llm"));
    for (int i = 1; i <= 4; i++) {
      rig.startRunner("portal-" + i, "portal", 6, PhotoBurst::answerStatus);
    }
    for (int i = 1; i <= 8; i++) {
      rig.startRunner("llm-" + i, "llm", 14, PhotoBurst::answerPhoto);
    }
    Rig.GatewayProcessHandle gateway = rig.startGateway("gateway-1");
    Thread.sleep(1000);
    List<Thread> senders = new ArrayList<>();
    long startedAt = System.nanoTime();
    senders.add(start(() -> sendPhotos(gateway)));
    for (int i = 0; millisSince(startedAt) < DURATION_MILLIS; i++) {
      String id = "status-" + i;
      senders.add(start(() -> sendStatus(gateway, id)));
      Thread.sleep(SHORT_REQUEST_INTERVAL_MILLIS);
    }
    for (Thread sender : senders) {
      sender.join();
    }
    long outOfMemory =
        rig.gatewayLog(gateway.name()).stream().filter(l -> l.contains("OutOfMemoryError")).count();
    rig.log("lines with OutOfMemoryError in the gateway's log: " + outOfMemory);
    rig.log("photos answered: " + photosAnswered + ", cut without an answer: " + photosCut);
    rig.log(
        "short requests answered in time: "
            + answered
            + ", unanswered at timeout_ms: "
            + unansweredAtTimeout
            + ", of these still unanswered 500 ms later: "
            + unansweredLater);
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

  private void sendStatus(Rig.GatewayProcessHandle gateway, String id) {
    long sentAt = System.nanoTime();
    String outcome;
    try (Client client = new Client(gateway.callersPort(), PATIENCE_MILLIS)) {
      sentAt = System.nanoTime();
      client.send(
          "GET", "/status/x", HOST, List.of("Attempt-Id: " + id, "Deadline-Ms: 5000"), new byte[0]);
      outcome = "receives " + client.receive().status();
    } catch (IOException e) {
      outcome = "receives no answer (" + e.getMessage() + ")";
    }
    long millis = millisSince(sentAt);
    rig.log("client " + outcome + " for " + id + " after " + millis + " ms");
    if (millis <= TIMEOUT_MILLIS) {
      answered.incrementAndGet();
    } else {
      unansweredAtTimeout.incrementAndGet();
      if (millis > LATE_MILLIS) {
        unansweredLater.incrementAndGet();
      }
    }
  }

  /** Sends photos for five seconds, at the usual rate or at that of the burst. */
  private void sendPhotos(Rig.GatewayProcessHandle gateway) {
    double perSecond = USUAL_PHOTOS_PER_SECOND * (rig.trouble ? BURST_FACTOR : 1);
    int photos = (int) (perSecond * BURST_MILLIS / 1000);
    try {
      for (int i = 0; i < photos; i++) {
        String id = "photo-" + i;
        start(() -> sendPhoto(gateway, id, PIECE_INTERVAL_MILLIS));
        Thread.sleep((long) (1000 / perSecond));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void sendPhoto(Rig.GatewayProcessHandle gateway, String id, int pieceInterval) {
    int sent = 0;
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", gateway.callersPort()), PATIENCE_MILLIS);
      socket.setSoTimeout(15_000);
      String head =
          "POST /photo/x HTTP/1.1\r\nHost: "
              + HOST
              + "\r\nAttempt-Id: "
              + id
              + "\r\nDeadline-Ms: 15000\r\nToken-Count: 1800,25\r\nContent-Length: "
              + PHOTO_BYTES
              + "\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      byte[] piece = new byte[PIECE_BYTES];
      while (sent < PHOTO_BYTES) {
        socket.getOutputStream().write(piece);
        sent += PIECE_BYTES;
        Thread.sleep(pieceInterval);
      }
      String line = Runner.Http.readLine(socket.getInputStream());
      rig.log("client receives " + line + " for " + id);
      (line == null ? photosCut : photosAnswered).incrementAndGet();
    } catch (IOException e) {
      photosCut.incrementAndGet();
      rig.log("connection of " + id + " is cut after " + sent + " bytes: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
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

  private static boolean answerPhoto(Runner.Request request, Runner.Connection connection)
      throws Exception {
    connection.runner().recordRun(request);
    Thread.sleep(50);
    connection.write(
        "HTTP/1.1 200 OK\r\nAttempt-Id: "
            + request.attemptId()
            + "\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\n"
            + "Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n");
    return true;
  }
}
