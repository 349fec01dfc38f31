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

/** LOST: connections that were closed, or written to, by others than the one answer that is due. */
class LostAnswersTest {

  private static final int TIMEOUT_MILLIS = 20_000;
  private static final Duration TIMEOUT = Duration.ofMillis(TIMEOUT_MILLIS);
  private static final int BODY_LIMIT = 65_536;
  private static final byte[] LARGE = new byte[20 * 1024 * 1024];
  private static final int HELD_MILLIS = 3000;
  private static final int SMALL = 20_000;
  private static final String FIRST = "GET /first HTTP/1.1\r\nHost: h\r\n\r\n";

  private final Closer closer = Closer.create();
  private final BlockingQueue<ServerExchange> taken = new LinkedBlockingQueue<>();
  private final CountDownLatch held = new CountDownLatch(1);
  private HttpServer server;

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  private Socket connect() throws IOException {
    return connect(Duration.ofSeconds(30));
  }

  private Socket connect(Duration idleTimeout) throws IOException {
    ServerOptions options = new ServerOptions(8192, BODY_LIMIT, idleTimeout, 1);
    server =
        closer.register(
            HttpServer.start("test", new Endpoint("127.0.0.1", 0), options, taken::add));
    Socket socket = new Socket("127.0.0.1", server.endpoint().port());
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return closer.register(socket);
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private ServerExchange next() throws InterruptedException {
    ServerExchange exchange = taken.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    assertThat(exchange).isNotNull();
    return exchange;
  }

  private static void answer(ServerExchange exchange) {
    exchange.respond(200, "text/plain", exchange.path() + ".");
  }

  private static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
  }

  private static void awaitReads(ServerExchange exchange) throws InterruptedException {
    CountDownLatch caughtUp = new CountDownLatch(1);
    exchange.afterPendingReads(caughtUp::countDown);
    assertThat(caughtUp.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
  }

  private CompletableFuture<Boolean> drain() {
    return CompletableFuture.supplyAsync(() -> server.drain(TIMEOUT));
  }

  @Test
  void refusesABodyThatIsTooLargeAfterTheAnswerToTheRequestAhead() throws Exception {
    Socket socket = connect();
    send(socket, FIRST);
    ServerExchange first = next();
    send(socket, "POST /second HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n");
    send(socket, "x".repeat(70_000));
    awaitReads(first);
    answer(first);
    assertThat(readAll(socket)).startsWith("HTTP/1.1 200 ").contains("/first.HTTP/1.1 413 ");
  }

  @Test
  void refusesAMalformedRequestAfterTheAnswerToTheRequestAhead() throws Exception {
    Socket socket = connect();
    send(socket, FIRST);
    ServerExchange first = next();
    send(socket, "GET /second HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n");
    awaitReads(first);
    answer(first);
    assertThat(readAll(socket)).startsWith("HTTP/1.1 200 ").contains("/first.HTTP/1.1 400 ");
  }

  @Test
  void asksForABodyThatIsHeldBackAfterTheAnswerToTheRequestAhead() throws Exception {
    Socket socket = connect();
    send(socket, FIRST);
    ServerExchange first = next();
    send(socket, "POST /second HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n");
    send(socket, "Expect: 100-continue\r\nConnection: close\r\n\r\n");
    awaitReads(first);
    answer(first);
    String expected = "/first.HTTP/1.1 100 Continue\r\n\r\n";
    StringBuilder read = new StringBuilder();
    while (!read.toString().endsWith(expected)) {
      int character = socket.getInputStream().read();
      assertThat(character).as("after %s", read).isNotEqualTo(-1);
      read.append((char) character);
    }
    assertThat(read).startsWith("HTTP/1.1 200 ");
    send(socket, "body");
    answer(next());
    assertThat(readAll(socket)).startsWith("HTTP/1.1 200 ").endsWith("/second.");
  }

  @Test
  void answersWhatACallerMaySendAheadBeforeItClosesTheConnection() throws Exception {
    Socket socket = connect();
    send(socket, FIRST.repeat(40));
    ServerExchange first = next();
    awaitReads(first);
    answer(first);
    for (int i = 0; i < 32; i++) {
      answer(next());
    }
    String[] answers = readAll(socket).split("/first\\.", -1);
    assertThat(answers).hasSize(34);
    assertThat(answers[31]).doesNotContainIgnoringCase("connection: close");
    assertThat(answers[32]).containsIgnoringCase("connection: close");
    assertThat(taken).isEmpty();
  }

  @Test
  void answersARequestThatComesSlowlyOnAConnectionThatIsIdleOtherwise() throws Exception {
    Socket socket = connect(Duration.ofSeconds(1));
    send(socket, "POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 12\r\n");
    send(socket, "Connection: close\r\n\r\n");
    for (int i = 0; i < 12; i++) {
      Thread.sleep(250);
      send(socket, "x");
    }
    answer(next());
    assertThat(readAll(socket)).startsWith("HTTP/1.1 200 ").endsWith("/slow.");
  }

  @Test
  void deliversAWholeAnswerToACallerThatTakesItSlowlyWhileTheServerStops() throws Exception {
    Socket socket = connect();
    send(socket, FIRST);
    ServerExchange first = next();
    first.respond(200, HeaderFields.NONE, LARGE);
    CompletableFuture<Boolean> drained = drain();
    assertThat(readAll(socket)).hasSizeGreaterThan(LARGE.length);
    assertThat(drained.get()).isTrue();
  }

  @Test
  void answersARequestThatIsOpenWhileTheServerStops() throws Exception {
    Socket socket = connect();
    send(socket, FIRST);
    ServerExchange first = next();
    Socket other = closer.register(new Socket("127.0.0.1", server.endpoint().port()));
    other.setSoTimeout(TIMEOUT_MILLIS);
    assertThat(Polling.await(() -> server.inFlightWork().connections() == 2, TIMEOUT)).isTrue();
    CompletableFuture<Boolean> drained = drain();
    assertThat(readAll(other)).isEmpty();
    answer(first);
    assertThat(readAll(socket)).startsWith("HTTP/1.1 200 ").endsWith("/first.");
    socket.close();
    other.close();
    assertThat(drained.get()).isTrue();
  }

  /** The server reads nothing while an observer of a connection's end holds its thread. */
  private void holdReading(Socket leaving) throws Exception {
    leaving.close();
    assertThat(held.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
  }

  private Socket connectHeld(Duration idleTimeout) throws IOException {
    server =
        closer.register(
            HttpServer.start(
                "test",
                new Endpoint("127.0.0.1", 0),
                new ServerOptions(8192, BODY_LIMIT, idleTimeout, 1),
                MonotonicClock.system(),
                this::hold,
                taken::add));
    return connectAgain();
  }

  private Socket connectAgain() throws IOException {
    Socket socket = closer.register(new Socket("127.0.0.1", server.endpoint().port()));
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return socket;
  }

  private void hold(ConnectionEnd end) {
    try {
      if (held.getCount() > 0) {
        held.countDown();
        Thread.sleep(HELD_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  void answersARequestThatWaitsUnreadWhileItsConnectionSeemsIdle() throws Exception {
    Socket leaving = connectHeld(Duration.ofMillis(1500));
    Socket socket = connectAgain();
    assertThat(Polling.await(() -> server.inFlightWork().connections() == 2, TIMEOUT)).isTrue();
    holdReading(leaving);
    send(socket, FIRST);
    answer(next());
    assertThat(socket.getInputStream().read()).isEqualTo('H');
  }

  @Test
  void answersRequestsOnConnectionsThatWaitForAcceptanceAsTheServerStops() throws Exception {
    Socket leaving = connectHeld(Duration.ofSeconds(30));
    assertThat(Polling.await(() -> server.inFlightWork().connections() == 1, TIMEOUT)).isTrue();
    holdReading(leaving);
    List<Socket> waiting = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      waiting.add(connectAgain());
      send(waiting.get(i), FIRST);
    }
    Thread.sleep(HELD_MILLIS);
    CompletableFuture<Boolean> drained = drain();
    for (int i = 0; i < 5; i++) {
      answer(next());
    }
    for (Socket socket : waiting) {
      assertThat(readAll(socket)).startsWith("HTTP/1.1 200 ").endsWith("/first.");
      socket.close();
    }
    assertThat(drained.get()).isTrue();
  }

  @Test
  void deliversTheAnswerAheadOfAMalformedRequestToACallerThatGoesOnSending() throws Exception {
    Socket socket = connect();
    send(socket, FIRST);
    ServerExchange first = next();
    send(socket, "GET /second HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n");
    awaitReads(first);
    first.respond(200, HeaderFields.NONE, new byte[SMALL]);
    for (int i = 0; i < 10; i++) {
      Thread.sleep(20);
      send(socket, "x".repeat(1000));
    }
    assertThat(readAll(socket)).hasSizeGreaterThan(SMALL).contains("HTTP/1.1 400 ");
  }

  /** A connection that is closed with unread bytes is reset, and the answer may be lost with it. */
  @Test
  void deliversAnAnswerToACallerThatGoesOnSending() throws Exception {
    Socket socket = connect();
    send(socket, FIRST);
    ServerExchange first = next();
    send(socket, "POST /second HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n");
    awaitReads(first);
    HeaderFields last = HeaderFields.NONE.with("Connection", "close");
    first.respond(200, last, new byte[SMALL]);
    for (int i = 0; i < 10; i++) {
      Thread.sleep(20);
      send(socket, "x".repeat(1000));
    }
    assertThat(readAll(socket)).hasSizeGreaterThan(SMALL);
  }
}
