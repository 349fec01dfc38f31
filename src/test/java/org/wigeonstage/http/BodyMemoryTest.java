package org.wigeonstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.io.Closer;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonstage.common.Polling;

/** Guards against large request bodies that fill the memory of a process. */
class BodyMemoryTest {

  private static final int TIMEOUT_MILLIS = 20_000;
  private static final int BODY_BYTES = 4_000_000;
  private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final int MAX_CONNECTIONS = 500;

  private final Closer closer = Closer.create();
  private HttpServer server;

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  private void start(RequestHandler handler) {
    ServerOptions options = new ServerOptions(8192, MAX_BODY_BYTES, Duration.ofSeconds(30), 2);
    server =
        closer.register(HttpServer.start("test", new Endpoint("127.0.0.1", 0), options, handler));
  }

  private static void respondWithLength(ServerExchange exchange) {
    exchange.respond(200, "text/plain", String.valueOf(exchange.body().length));
  }

  private Socket send(String fields, byte[] bodyStart) throws IOException {
    Socket socket = closer.register(new Socket("127.0.0.1", server.endpoint().port()));
    socket.setSoTimeout(TIMEOUT_MILLIS);
    socket
        .getOutputStream()
        .write(
            ("POST /x HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n")
                .getBytes(StandardCharsets.US_ASCII));
    socket.getOutputStream().write(bodyStart);
    socket.getOutputStream().flush();
    return socket;
  }

  private Socket sendWhole(int length) throws IOException {
    return send("Connection: close\r\nContent-Length: " + length + "\r\n", new byte[length]);
  }

  private static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  private void awaitNoReservation() throws InterruptedException {
    assertThat(
            Polling.await(() -> server.reservedBodyBytes() == 0, Duration.ofMillis(TIMEOUT_MILLIS)))
        .isTrue();
  }

  /** Begins to send bodies until a request is refused; returns the connections of the others. */
  private List<Socket> fillMemory() throws Exception {
    List<Socket> sockets = new ArrayList<>();
    while (sockets.size() < MAX_CONNECTIONS) {
      long before = server.reservedBodyBytes();
      Socket socket = send("Content-Length: " + BODY_BYTES + "\r\n", new byte[1]);
      boolean isReserved =
          Polling.await(
              () -> {
                try {
                  return server.reservedBodyBytes() > before
                      || socket.getInputStream().available() > 0;
                } catch (IOException e) {
                  throw new IllegalStateException(e);
                }
              },
              Duration.ofMillis(TIMEOUT_MILLIS));
      assertThat(isReserved).isTrue();
      if (server.reservedBodyBytes() == before) {
        assertThat(readAll(socket))
            .startsWith("HTTP/1.1 503")
            .containsIgnoringCase("Retry-After: 1\r\n")
            .containsIgnoringCase("Wigeonstage-Outcome: not-run\r\n");
        return sockets;
      }
      sockets.add(socket);
    }
    throw new AssertionError("no request was refused");
  }

  @Test
  void largeBodiesBeyondTheBoundAreRefusedAndSmallOnesAreNot() throws Exception {
    start(BodyMemoryTest::respondWithLength);
    List<Socket> sockets = fillMemory();
    assertThat((long) sockets.size() * BODY_BYTES)
        .isBetween(1L, Runtime.getRuntime().maxMemory() / 3);
    assertThat(readAll(sendWhole(BodyMemory.SMALL_BODY_BYTES))).startsWith("HTTP/1.1 200");
    for (Socket socket : sockets) {
      socket.close();
    }
    awaitNoReservation();
    assertThat(readAll(sendWhole(BODY_BYTES))).endsWith(String.valueOf(BODY_BYTES));
  }

  /**
   * Callers that send slowly would otherwise find their connection reset in place of a response.
   */
  @Test
  void callerThatReadsTheRefusalAfterItsWholeBodyFindsIt() throws Exception {
    start(BodyMemoryTest::respondWithLength);
    fillMemory();
    Socket slow = send("Content-Length: " + BODY_BYTES + "\r\n", new byte[1]);
    for (int i = 0; i < 30; i++) {
      Thread.sleep(100);
      slow.getOutputStream().write(new byte[1000]);
    }
    assertThat(readAll(slow)).startsWith("HTTP/1.1 503");
  }

  @Test
  void memoryIsReleasedAfterEachResponseOnAConnection() throws Exception {
    start(BodyMemoryTest::respondWithLength);
    Socket socket = closer.register(new Socket("127.0.0.1", server.endpoint().port()));
    socket.setSoTimeout(TIMEOUT_MILLIS);
    for (int i = 0; i < 20; i++) {
      socket
          .getOutputStream()
          .write(
              ("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().write(new byte[BODY_BYTES]);
      byte[] response = new byte[1024];
      assertThat(socket.getInputStream().read(response)).isPositive();
      awaitNoReservation();
    }
  }

  @Test
  void memoryIsReleasedIfCallersLeaveBeforeTheirResponses() throws Exception {
    List<ServerExchange> exchanges = new ArrayList<>();
    start(exchanges::add);
    for (int i = 0; i < 5; i++) {
      Socket socket = sendWhole(BODY_BYTES);
      int count = i + 1;
      Polling.await(() -> exchanges.size() == count, Duration.ofMillis(TIMEOUT_MILLIS));
      socket.close();
    }
    awaitNoReservation();
    exchanges.forEach(exchange -> exchange.respond(200, null, Map.of(), new byte[0]));
    assertThat(server.reservedBodyBytes()).isZero();
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 65_536, 65_537, 1_000_000, 4_000_000})
  void chunkedBodiesAreReadWholeAndReleased(int length) throws Exception {
    start(BodyMemoryTest::respondWithLength);
    Socket socket = send("Connection: close\r\nTransfer-Encoding: chunked\r\n", new byte[0]);
    int sent = 0;
    while (sent < length) {
      int part = Math.min(50_000, length - sent);
      socket
          .getOutputStream()
          .write((Integer.toHexString(part) + "\r\n").getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().write(new byte[part]);
      socket.getOutputStream().write("\r\n".getBytes(StandardCharsets.US_ASCII));
      sent += part;
    }
    socket.getOutputStream().write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    assertThat(readAll(socket)).contains("\r\n\r\n" + length);
    awaitNoReservation();
  }

  @ParameterizedTest
  @ValueSource(longs = {-1, 10, 1000})
  void bufferReturnsWhatWasAppended(long declaredLength) {
    BodyBuffer buffer = new BodyBuffer(declaredLength);
    StringBuilder expected = new StringBuilder();
    for (int i = 0; i < 100; i++) {
      String part = "part" + i;
      buffer.append(part.getBytes(StandardCharsets.US_ASCII));
      expected.append(part);
    }
    assertThat(buffer.length()).isEqualTo(expected.length());
    assertThat(new String(buffer.toBytes(), StandardCharsets.US_ASCII))
        .hasToString(expected.toString());
  }
}
