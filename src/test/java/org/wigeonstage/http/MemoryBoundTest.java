package org.wigeonstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.io.Closer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.common.Polling;

/** Guards against callers that together make a process hold more than its memory. */
class MemoryBoundTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int BOUND_BYTES = 8_000_000;
  private static final int BODY_BYTES = 1_000_000;

  private final Closer closer = Closer.create();
  private final List<ServerExchange> exchanges = new CopyOnWriteArrayList<>();
  private final List<ConnectionEnd> ends = new CopyOnWriteArrayList<>();
  private HttpServer server;

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  private void start(RequestHandler handler) {
    MemoryBound bound =
        new MemoryBound(
            BOUND_BYTES,
            (path, fields) ->
                switch (path) {
                  case "/urgent" -> 1;
                  case "/failing" -> throw new IllegalStateException("no share");
                  default -> 0.5;
                });
    server =
        closer.register(
            HttpServer.start(
                "test",
                new Endpoint("127.0.0.1", 0),
                new ServerOptions(8192, 4_000_000, Duration.ofSeconds(30), 2),
                MonotonicClock.system(),
                ends::add,
                Optional.of(bound),
                handler));
  }

  private Socket connect(int receiveBufferBytes) throws IOException {
    Socket socket = closer.register(new Socket());
    socket.setReceiveBufferSize(receiveBufferBytes);
    socket.setSoTimeout((int) TIMEOUT.toMillis());
    socket.connect(new InetSocketAddress("127.0.0.1", server.endpoint().port()));
    return socket;
  }

  /** Sends the head of a request, and the first byte of its body. */
  private Socket begin(String path, int bodyBytes) throws IOException {
    Socket socket = connect(64 * 1024);
    socket
        .getOutputStream()
        .write(
            "POST %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: %d\r\n\r\nx"
                .formatted(path, bodyBytes)
                .getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  private void awaitReserved(long bytes) throws InterruptedException {
    Polling.await(() -> server.reservedBodyBytes() == bytes, TIMEOUT);
    assertThat(server.reservedBodyBytes()).isEqualTo(bytes);
  }

  private static String readAll(Socket socket) {
    try {
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void fillHalf() throws Exception {
    for (int i = 1; i <= 4; i++) {
      begin("/lazy", BODY_BYTES);
      awaitReserved((long) i * BODY_BYTES);
    }
  }

  @Test
  void lessUrgentRequestsAreRejectedFirstAndBeforeTheirBodyIsRead() throws Exception {
    start(exchanges::add);
    fillHalf();
    assertThat(readAll(begin("/lazy", BODY_BYTES)))
        .startsWith("HTTP/1.1 503")
        .containsIgnoringCase("Wigeonstage-Outcome: not-run\r\n");
    for (int i = 5; i <= 8; i++) {
      begin("/urgent", BODY_BYTES);
      awaitReserved((long) i * BODY_BYTES);
    }
    assertThat(readAll(begin("/urgent", BODY_BYTES))).startsWith("HTTP/1.1 503");
  }

  @Test
  void smallBodiesCountToo() throws Exception {
    start(exchanges::add);
    begin("/lazy", 1000);
    awaitReserved(1000);
  }

  @Test
  void errorInTheDecisionRejectsOnlyItsRequest() throws Exception {
    start(exchanges::add);
    fillHalf();
    assertThat(readAll(begin("/failing", BODY_BYTES))).startsWith("HTTP/1.1 503");
    begin("/urgent", BODY_BYTES);
    awaitReserved(5L * BODY_BYTES);
  }

  @Test
  void reservationEndsWithItsConnection() throws Exception {
    start(exchanges::add);
    Socket socket = begin("/lazy", BODY_BYTES);
    awaitReserved(BODY_BYTES);
    socket.close();
    awaitReserved(0);
  }

  /** Sends a request without a body on a connection whose socket takes little. */
  private Socket request(String path) throws Exception {
    Socket socket = connect(4096);
    int before = exchanges.size();
    socket
        .getOutputStream()
        .write(
            "GET %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                .formatted(path)
                .getBytes(StandardCharsets.US_ASCII));
    assertThat(Polling.await(() -> exchanges.size() > before, TIMEOUT)).isTrue();
    return socket;
  }

  @Test
  void callersThatDoNotReadLoseOnlyTheirOwnResponses() throws Exception {
    start(exchanges::add);
    for (int i = 0; i < 3; i++) {
      request("/unread");
    }
    exchanges.forEach(exchange -> exchange.start(200, null, Map.of()));
    Socket reader = request("/read");
    CompletableFuture<String> received = CompletableFuture.supplyAsync(() -> readAll(reader));
    ServerExchange read = exchanges.get(3);
    read.start(200, null, Map.of());
    for (int i = 0; i < 40; i++) {
      exchanges.subList(0, 3).forEach(exchange -> exchange.write(new byte[250_000]));
      read.write("event".getBytes(StandardCharsets.US_ASCII));
      assertThat(Polling.await(() -> read.undeliveredBytes() == 0, TIMEOUT)).isTrue();
    }
    read.end();
    assertThat(received.join()).endsWith("\r\n0\r\n\r\n");
    assertThat(Polling.await(() -> server.responseBytes() <= BOUND_BYTES / 4, TIMEOUT)).isTrue();
    assertThat(ends).isNotEmpty();
    assertThat(ends.stream().filter(ConnectionEnd::isIncomplete))
        .allMatch(end -> end.reason() == ConnectionEnd.Reason.UNREAD);
    begin("/lazy", BODY_BYTES);
    awaitReserved(BODY_BYTES);
  }

  @Test
  void partsOfResponsesCountUntilTheirConnectionEnds() throws Exception {
    start(exchanges::add);
    Socket socket = request("/unread");
    ServerExchange exchange = exchanges.get(0);
    exchange.setBufferedBytes(5000);
    assertThat(server.responseBytes()).isEqualTo(5000);
    exchange.setBufferedBytes(0);
    exchange.start(200, null, Map.of());
    for (int i = 0; i < 20_000 && server.responseBytes() < 100_000; i++) {
      exchange.write(new byte[5000]);
    }
    assertThat(exchange.heldBytes()).isGreaterThan(exchange.undeliveredBytes());
    assertThat(server.responseBytes()).isEqualTo(exchange.heldBytes());
    socket.close();
    assertThat(Polling.await(() -> server.responseBytes() == 0, TIMEOUT)).isTrue();
  }

  @Test
  void boundFollowsFromTheSmallerOfHeapAndProcess() {
    MemoryBound.Admission any = (path, fields) -> 1;
    long megabyte = 1024 * 1024;
    assertThat(MemoryBound.ofProcess(330, 160 * megabyte, any).maxBytes())
        .isEqualTo(160 * megabyte / 3);
    assertThat(MemoryBound.ofProcess(200, 160 * megabyte, any).maxBytes())
        .isEqualTo(80 * megabyte / 3);
    assertThat(MemoryBound.ofProcess(64, 160 * megabyte, any).maxBytes()).isEqualTo(16 * megabyte);
  }
}
