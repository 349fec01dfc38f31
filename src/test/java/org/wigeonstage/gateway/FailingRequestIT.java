package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonstage.gateway.GatewayFixture.readResponse;
import static org.wigeonstage.gateway.GatewayFixture.statusOf;

import com.google.common.io.Closer;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.Polling;
import org.wigeonstage.gateway.ScriptedServer.Ending;
import org.wigeonstage.telemetry.DecisionLog;

/** Tests that an error in the handling of one request ends this request, and no other one. */
class FailingRequestIT {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  /** The requests of the most urgent route that run at a server with one slot, or wait there. */
  private static final int CAPACITY = 3;

  private static final String STREAM_BODY = StreamText.chunkedEvents(1, 5) + StreamText.LAST_CHUNK;

  private final Closer closer = Closer.create();
  private final DecisionLogCapture decisions = closer.register(new DecisionLogCapture());
  private final Map<String, CountDownLatch> held = new ConcurrentHashMap<>();
  private ScriptedServer server;
  private GatewayProcess gateway;

  @BeforeEach
  void start() throws Exception {
    server = closer.register(ScriptedServer.afterWarmUp((id, position) -> answer(id), Ending.KEPT));
    GatewayFixture fixture = closer.register(new GatewayFixture(0));
    fixture.store.write("servers", "scripted", server.registration().put("slot_count", 1));
    gateway = fixture.startGateway("gateway-2", store -> store, FailingCodec::new);
    int[] requestCount = {0};
    await(() -> statusOf(request("plain", "wait-" + requestCount[0]++)) == 200);
  }

  @AfterEach
  void stop() throws IOException {
    held.values().forEach(CountDownLatch::countDown);
    closer.close();
  }

  /** Returns the response to a request, once it is released if its ID says that it is held. */
  private String answer(String id) {
    if (id.startsWith("held")) {
      awaitRelease(id);
    }
    if (id.startsWith("failing-event")) {
      return StreamText.chunkedHead(id)
          + StreamText.chunkedEvents(1, 1)
          + StreamText.chunk(FailingCodec.FAILING_LINE + "\nid: 2\ndata: two\n\n");
    }
    if (id.startsWith("leaving")) {
      String fields =
          "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nServer-Leaving: 900\r\n";
      return StreamText.head(id, "200 OK", fields) + STREAM_BODY;
    }
    boolean isStream = id.contains("stream");
    return isStream ? StreamText.chunkedHead(id) + STREAM_BODY : ScriptedServer.success(id);
  }

  private void awaitRelease(String id) {
    try {
      latch(id).await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private CountDownLatch latch(String id) {
    return held.computeIfAbsent(id, key -> new CountDownLatch(1));
  }

  private Socket send(String route, String id) throws IOException {
    String fields = "Deadline-Ms: 15000\r\nToken-Count: 10,20\r\nConnection: close\r\n";
    return closer.register(GatewayFixture.send(gateway, route, id, fields));
  }

  private String request(String route, String id) {
    try (Socket socket = send(route, id)) {
      return readResponse(socket);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    assertThat(Polling.await(condition, TIMEOUT)).isTrue();
  }

  private Socket[] sendHeldStreams(String prefix) throws Exception {
    Socket[] sockets = new Socket[CAPACITY];
    for (int i = 0; i < CAPACITY; i++) {
      String id = prefix + i;
      sockets[i] = send("stream", id);
      await(() -> server.receivedCount(id) == 1);
    }
    return sockets;
  }

  private void assertReleasedStreamsAreComplete(String prefix, Socket[] sockets)
      throws IOException {
    for (int i = 0; i < sockets.length; i++) {
      latch(prefix + i).countDown();
      assertThat(readResponse(sockets[i])).contains("event 5").endsWith(StreamText.LAST_CHUNK);
    }
  }

  private List<String> failuresOf(String id) {
    return decisions.linesOf("request-failed").stream().filter(line -> line.contains(id)).toList();
  }

  @Test
  void streamsAreCompleteWhenARequestThatWaitsForTheirSlotsCannotBeSent() throws Exception {
    Socket[] streams = sendHeldStreams("held-stream-");
    Socket waiting = send("plain", "unsendable-1");
    await(() -> gateway.core().readWithLock(gateway.core()::openRequestCount) == CAPACITY + 1);
    assertReleasedStreamsAreComplete("held-stream-", streams);
    assertThat(statusOf(readResponse(waiting))).isEqualTo(503);
    assertThat(failuresOf("unsendable-1")).hasSize(1);
    assertThat(server.receivedCount("unsendable-1")).isZero();
    assertReleasedStreamsAreComplete("held-stream-again-", sendHeldStreams("held-stream-again-"));
  }

  @Test
  void requestsThatCannotBeSentOccupyNoSlot() throws Exception {
    for (int i = 0; i < 2 * CAPACITY; i++) {
      assertThat(statusOf(request("plain", "unsendable-" + i))).isEqualTo(503);
    }
    assertReleasedStreamsAreComplete("held-stream-", sendHeldStreams("held-stream-"));
  }

  @Test
  void errorInTheHeadOfAResponseEndsOnlyItsRequest() throws Exception {
    Socket stream = send("stream", "held-stream-1");
    await(() -> server.receivedCount("held-stream-1") == 1);
    assertThat(statusOf(request("plain", "unreadable-1"))).isEqualTo(502);
    assertThat(failuresOf("unreadable-1")).hasSize(1);
    latch("held-stream-1").countDown();
    assertThat(readResponse(stream)).contains("event 5").endsWith(StreamText.LAST_CHUNK);
    assertReleasedStreamsAreComplete("held-stream-again-", sendHeldStreams("held-stream-again-"));
  }

  @Test
  void errorInAnEventBreaksOffOnlyItsStream() throws Exception {
    Socket stream = send("stream", "held-stream-1");
    await(() -> server.receivedCount("held-stream-1") == 1);
    assertThat(request("stream", "failing-event-1"))
        .doesNotContain("two")
        .doesNotEndWith(StreamText.LAST_CHUNK);
    assertThat(failuresOf("failing-event-1")).hasSize(1);
    assertThat(server.receivedCount("failing-event-1")).isEqualTo(1);
    latch("held-stream-1").countDown();
    assertThat(readResponse(stream)).contains("event 5").endsWith(StreamText.LAST_CHUNK);
  }

  @Test
  void errorInWhatIsRecordedAboutAServerLeavesItsStreamComplete() throws Exception {
    Logger logger = Logger.getLogger(DecisionLog.class.getName());
    FailingLogHandler handler = new FailingLogHandler();
    logger.addHandler(handler);
    closer.register(() -> logger.removeHandler(handler));
    String response = request("stream", "leaving-stream-1");
    assertThat(response).contains("event 5").endsWith(StreamText.LAST_CHUNK);
    assertThat(handler.failureCount.get()).isEqualTo(1);
    assertThat(failuresOf("leaving-stream-1")).isEmpty();
  }

  /** Throws an error when a server is recorded as leaving. */
  private static final class FailingLogHandler extends Handler {

    private final AtomicInteger failureCount = new AtomicInteger();

    @Override
    public void publish(LogRecord record) {
      String line = new SimpleFormatter().formatMessage(record);
      if (line.contains("\"event\":\"server-leaving\"")) {
        failureCount.incrementAndGet();
        throw new StackOverflowError("injected by the test");
      }
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
  }

  @Test
  void requestThatCannotBeReadGetsAResponse() {
    assertThat(statusOf(request("plain", "undecodable-1"))).isEqualTo(500);
    assertThat(statusOf(request("plain", "decodable-1"))).isEqualTo(200);
  }
}
