package org.wigeonstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.io.Closer;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.common.Polling;
import org.wigeonstage.request.HeaderFields;

/**
 * Guards against responses that are lost because, while they were pending, other code closed their
 * connection or wrote to it.
 */
class ResponseDeliveryTest {

  private static final int TIMEOUT_MILLIS = 20_000;
  private static final Duration TIMEOUT = Duration.ofMillis(TIMEOUT_MILLIS);
  private static final int MAX_BODY_BYTES = 65_536;
  private static final byte[] LARGE_BODY = new byte[20 * 1024 * 1024];
  private static final int BLOCKED_MILLIS = 3000;
  private static final int SMALL_BODY_BYTES = 20_000;
  private static final String FIRST_REQUEST = "GET /first HTTP/1.1\r\nHost: h\r\n\r\n";

  private final Closer closer = Closer.create();
  private final BlockingQueue<ServerExchange> exchanges = new LinkedBlockingQueue<>();
  private final CountDownLatch blocked = new CountDownLatch(1);
  private HttpServer server;

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  private Socket connect() throws IOException {
    return connect(Duration.ofSeconds(30));
  }

  private Socket connect(Duration idleTimeout) throws IOException {
    ServerOptions options = new ServerOptions(8192, MAX_BODY_BYTES, idleTimeout, 1);
    server =
        closer.register(
            HttpServer.start("test", new Endpoint("127.0.0.1", 0), options, exchanges::add));
    Socket socket = new Socket("127.0.0.1", server.endpoint().port());
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return closer.register(socket);
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private ServerExchange nextExchange() throws InterruptedException {
    ServerExchange exchange = exchanges.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    assertThat(exchange).isNotNull();
    return exchange;
  }

  private static void respond(ServerExchange exchange) {
    exchange.respond(200, "text/plain", exchange.path() + ".");
  }

  private static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
  }

  private static void awaitPendingReads(ServerExchange exchange) throws InterruptedException {
    CountDownLatch readsProcessed = new CountDownLatch(1);
    exchange.afterPendingReads(readsProcessed::countDown);
    assertThat(readsProcessed.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
  }

  private CompletableFuture<Boolean> drain() {
    return CompletableFuture.supplyAsync(() -> server.drain(TIMEOUT));
  }

  @Test
  void tooLargeBodyIsRefusedAfterTheResponseToTheRequestAhead() throws Exception {
    Socket socket = connect();
    send(socket, FIRST_REQUEST);
    ServerExchange first = nextExchange();
    send(socket, "POST /second HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n");
    send(socket, "x".repeat(70_000));
    awaitPendingReads(first);
    respond(first);
    assertThat(readAll(socket)).startsWith("HTTP/1.1 200 ").contains("/first.HTTP/1.1 413 ");
  }

  @Test
  void malformedRequestIsRefusedAfterTheResponseToTheRequestAhead() throws Exception {
    Socket socket = connect();
    send(socket, FIRST_REQUEST);
    ServerExchange first = nextExchange();
    send(socket, "GET /second HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n");
    awaitPendingReads(first);
    respond(first);
    assertThat(readAll(socket)).startsWith("HTTP/1.1 200 ").contains("/first.HTTP/1.1 400 ");
  }

  @Test
  void continueIsSentAfterTheResponseToTheRequestAhead() throws Exception {
    Socket socket = connect();
    send(socket, FIRST_REQUEST);
    ServerExchange first = nextExchange();
    send(socket, "POST /second HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n");
    send(socket, "Expect: 100-continue\r\nConnection: close\r\n\r\n");
    awaitPendingReads(first);
    respond(first);
    String expected = "/first.HTTP/1.1 100 Continue\r\n\r\n";
    StringBuilder received = new StringBuilder();
    while (!received.toString().endsWith(expected)) {
      int character = socket.getInputStream().read();
      assertThat(character).as("after %s", received).isNotEqualTo(-1);
      received.append((char) character);
    }
    assertThat(received).startsWith("HTTP/1.1 200 ");
    send(socket, "body");
    respond(nextExchange());
    assertThat(readAll(socket)).startsWith("HTTP/1.1 200 ").endsWith("/second.");
  }

  @Test
  void pipelinedRequestsUpToTheLimitAreAnsweredBeforeTheClose() throws Exception {
    Socket socket = connect();
    send(socket, FIRST_REQUEST.repeat(40));
    ServerExchange first = nextExchange();
    awaitPendingReads(first);
    respond(first);
    for (int i = 0; i < 32; i++) {
      respond(nextExchange());
    }
    String[] responses = readAll(socket).split("/first\\.", -1);
    assertThat(responses).hasSize(34);
    assertThat(responses[31]).doesNotContainIgnoringCase("connection: close");
    assertThat(responses[32]).containsIgnoringCase("connection: close");
    assertThat(exchanges).isEmpty();
  }

  @Test
  void requestThatArrivesSlowlyIsAnsweredDespiteTheIdleTimeout() throws Exception {
    Socket socket = connect(Duration.ofSeconds(1));
    send(socket, "POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 12\r\n");
    send(socket, "Connection: close\r\n\r\n");
    for (int i = 0; i < 12; i++) {
      Thread.sleep(250);
      send(socket, "x");
    }
    respond(nextExchange());
    assertThat(readAll(socket)).startsWith("HTTP/1.1 200 ").endsWith("/slow.");
  }

  @Test
  void drainDeliversTheCompleteResponseToASlowCaller() throws Exception {
    Socket socket = connect();
    send(socket, FIRST_REQUEST);
    ServerExchange first = nextExchange();
    first.respond(200, HeaderFields.NONE, LARGE_BODY);
    CompletableFuture<Boolean> drained = drain();
    assertThat(readAll(socket)).hasSizeGreaterThan(LARGE_BODY.length);
    assertThat(drained.get()).isTrue();
  }

  @Test
  void drainWaitsForTheResponseToTheCurrentRequest() throws Exception {
    Socket socket = connect();
    send(socket, FIRST_REQUEST);
    ServerExchange first = nextExchange();
    Socket other = closer.register(new Socket("127.0.0.1", server.endpoint().port()));
    other.setSoTimeout(TIMEOUT_MILLIS);
    assertThat(Polling.await(() -> server.inFlightWork().connections() == 2, TIMEOUT)).isTrue();
    CompletableFuture<Boolean> drained = drain();
    assertThat(readAll(other)).isEmpty();
    respond(first);
    assertThat(readAll(socket)).startsWith("HTTP/1.1 200 ").endsWith("/first.");
    socket.close();
    other.close();
    assertThat(drained.get()).isTrue();
  }

  /** Blocks the selector thread, in the notification that a connection has closed. */
  private void blockSelectorThread(Socket closing) throws Exception {
    closing.close();
    assertThat(blocked.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
  }

  private Socket connectWithBlockingListener(Duration idleTimeout) throws IOException {
    server =
        closer.register(
            HttpServer.start(
                "test",
                new Endpoint("127.0.0.1", 0),
                new ServerOptions(8192, MAX_BODY_BYTES, idleTimeout, 1),
                MonotonicClock.system(),
                this::blockOnce,
                exchanges::add));
    return openSocket();
  }

  private Socket openSocket() throws IOException {
    Socket socket = closer.register(new Socket("127.0.0.1", server.endpoint().port()));
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return socket;
  }

  private void blockOnce(ConnectionEnd end) {
    try {
      if (blocked.getCount() > 0) {
        blocked.countDown();
        Thread.sleep(BLOCKED_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  void requestNotYetReadAtTheIdleTimeoutIsAnswered() throws Exception {
    Socket closing = connectWithBlockingListener(Duration.ofMillis(1500));
    Socket socket = openSocket();
    assertThat(Polling.await(() -> server.inFlightWork().connections() == 2, TIMEOUT)).isTrue();
    blockSelectorThread(closing);
    send(socket, FIRST_REQUEST);
    respond(nextExchange());
    assertThat(socket.getInputStream().read()).isEqualTo('H');
  }

  @Test
  void drainAnswersRequestsOnConnectionsNotYetAccepted() throws Exception {
    Socket closing = connectWithBlockingListener(Duration.ofSeconds(30));
    assertThat(Polling.await(() -> server.inFlightWork().connections() == 1, TIMEOUT)).isTrue();
    blockSelectorThread(closing);
    List<Socket> pending = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      pending.add(openSocket());
      send(pending.get(i), FIRST_REQUEST);
    }
    Thread.sleep(BLOCKED_MILLIS);
    CompletableFuture<Boolean> drained = drain();
    for (int i = 0; i < 5; i++) {
      respond(nextExchange());
    }
    for (Socket socket : pending) {
      assertThat(readAll(socket)).startsWith("HTTP/1.1 200 ").endsWith("/first.");
      socket.close();
    }
    assertThat(drained.get()).isTrue();
  }

  @Test
  void responseAheadOfAMalformedRequestIsDeliveredWhileTheCallerKeepsSending() throws Exception {
    Socket socket = connect();
    send(socket, FIRST_REQUEST);
    ServerExchange first = nextExchange();
    send(socket, "GET /second HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n");
    awaitPendingReads(first);
    first.respond(200, HeaderFields.NONE, new byte[SMALL_BODY_BYTES]);
    for (int i = 0; i < 10; i++) {
      Thread.sleep(20);
      send(socket, "x".repeat(1000));
    }
    assertThat(readAll(socket)).hasSizeGreaterThan(SMALL_BODY_BYTES).contains("HTTP/1.1 400 ");
  }

  /** Closing a socket with unread bytes resets the connection, which may destroy the response. */
  @Test
  void responseIsDeliveredWhileTheCallerKeepsSending() throws Exception {
    Socket socket = connect();
    send(socket, FIRST_REQUEST);
    ServerExchange first = nextExchange();
    send(socket, "POST /second HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n");
    awaitPendingReads(first);
    HeaderFields fields = HeaderFields.NONE.with("Connection", "close");
    first.respond(200, fields, new byte[SMALL_BODY_BYTES]);
    for (int i = 0; i < 10; i++) {
      Thread.sleep(20);
      send(socket, "x".repeat(1000));
    }
    assertThat(readAll(socket)).hasSizeGreaterThan(SMALL_BODY_BYTES);
  }
}
