package org.wigeonstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.io.Closer;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.http.ConnectionEnd.Reason;

/** Tests that the end of a caller's connection names the request that it cut. */
class CallerConnectionEndTest {

  private static final int TIMEOUT_SECONDS = 20;
  private static final int CALLER_COUNT = 500;

  private final Closer closer = Closer.create();
  private final BlockingQueue<ConnectionEnd> ends = new LinkedBlockingQueue<>();

  @AfterEach
  void stop() throws IOException {
    closer.close();
  }

  private Socket connect(RequestHandler handler) throws IOException {
    HttpServer server =
        closer.register(
            HttpServer.start(
                "test",
                new Endpoint("127.0.0.1", 0),
                new ServerOptions(8192, 8192, Duration.ofSeconds(30), 1),
                MonotonicClock.system(),
                ends::add,
                handler));
    Socket socket = closer.register(new Socket("127.0.0.1", server.endpoint().port()));
    socket.setSoTimeout(TIMEOUT_SECONDS * 1000);
    socket
        .getOutputStream()
        .write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  /**
   * Guards against whole responses that are reported as cut: the caller reads the response and
   * closes the connection before the thread that has written it goes on.
   */
  @Test
  void callerThatClosesAfterTheWholeResponseCutsNothing() throws Exception {
    HttpServer server =
        closer.register(
            HttpServer.start(
                "test",
                new Endpoint("127.0.0.1", 0),
                new ServerOptions(8192, 8192, Duration.ofSeconds(30), 1),
                MonotonicClock.system(),
                ends::add,
                exchange -> exchange.respond(200, null, Map.of(), new byte[] {'x'})));
    for (int i = 0; i < CALLER_COUNT; i++) {
      try (Socket socket = new Socket("127.0.0.1", server.endpoint().port())) {
        socket.setSoTimeout(TIMEOUT_SECONDS * 1000);
        socket
            .getOutputStream()
            .write(
                "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII));
        while (socket.getInputStream().read() != 'x') {
          // The last byte of the response is the only 'x' in it.
        }
      }
      ConnectionEnd end = awaitEnd();
      assertThat(end.isIncomplete()).isFalse();
      assertThat(end.reason()).isEqualTo(Reason.CALLER_ASKED);
    }
  }

  private ConnectionEnd awaitEnd() throws InterruptedException {
    ConnectionEnd end = ends.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertThat(end).isNotNull();
    return end;
  }

  private static void startResponse(ServerExchange exchange) {
    exchange.setLabel("r-1");
    exchange.start(200, null, Map.of());
    exchange.write(new byte[] {'x'});
  }

  @Test
  void connectionThatTheCallerClosesNamesItsRequest() throws Exception {
    Socket socket = connect(CallerConnectionEndTest::startResponse);
    assertThat(socket.getInputStream().read()).isPositive();
    socket.close();
    ConnectionEnd end = awaitEnd();
    assertThat(end.reason()).isEqualTo(Reason.CALLER_LEFT);
    assertThat(end.currentRequest()).isEqualTo("r-1");
    assertThat(end.isIncomplete()).isTrue();
  }

  @Test
  void connectionWithoutRequestNamesNone() throws Exception {
    Socket socket =
        connect(
            exchange -> {
              exchange.setLabel("r-1");
              exchange.respond(200, "text/plain", "x");
            });
    assertThat(socket.getInputStream().read()).isPositive();
    socket.close();
    assertThat(awaitEnd().currentRequest()).isNull();
  }

  @Test
  void errorInTheDeliveryOfAResponseClosesItsConnection() throws Exception {
    StackOverflowError error = new StackOverflowError("injected by the test");
    Socket socket =
        connect(
            exchange -> {
              exchange.onDelivered(
                  bytes -> {
                    throw error;
                  });
              startResponse(exchange);
            });
    String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    assertThat(response).doesNotEndWith("0\r\n\r\n");
    ConnectionEnd end = awaitEnd();
    assertThat(end.reason()).isEqualTo(Reason.HANDLING_FAILED);
    assertThat(end.currentRequest()).isEqualTo("r-1");
    assertThat(end.cause()).isSameAs(error);
  }

  @Test
  void errorWhenTheCallerDisconnectsIsContained() throws Exception {
    Socket socket =
        connect(
            exchange -> {
              exchange.onDisconnect(
                  () -> {
                    throw new IllegalStateException("injected by the test");
                  });
              startResponse(exchange);
            });
    assertThat(socket.getInputStream().read()).isPositive();
    socket.close();
    assertThat(awaitEnd().currentRequest()).isEqualTo("r-1");
  }
}
