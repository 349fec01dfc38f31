package org.wigeonstage.http;

import static java.util.concurrent.TimeUnit.SECONDS;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.common.io.Closer;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonstage.common.Polling;
import org.wigeonstage.request.HeaderFields;

/** Handlers that answer where they are called, or later on another thread. */
class HttpServerTest {

  private static final int TIMEOUT_MILLIS = 20_000;
  private static final Duration TIMEOUT = Duration.ofMillis(TIMEOUT_MILLIS);
  private static final int REQUESTS = 2000;

  /** More than the buffers of a connection hold. */
  private static final long MANY_BYTES = 64L * 1024 * 1024;

  private final Closer closer = Closer.create();
  private final ExecutorService other = Executors.newSingleThreadExecutor();
  private final ExecutorService readers = Executors.newSingleThreadExecutor();

  @AfterEach
  void close() throws IOException {
    other.shutdownNow();
    readers.shutdownNow();
    closer.close();
  }

  private Socket connect(RequestHandler handler) throws IOException {
    return connect(handler, new ServerOptions(8192, 65_536, Duration.ofSeconds(30), 1));
  }

  private Socket connect(RequestHandler handler, ServerOptions options) throws IOException {
    HttpServer server =
        closer.register(HttpServer.start("test", new Endpoint("127.0.0.1", 0), options, handler));
    Socket socket = new Socket("127.0.0.1", server.endpoint().port());
    socket.setSoTimeout(TIMEOUT_MILLIS);
    socket.setTcpNoDelay(true);
    return closer.register(socket);
  }

  private static void answer(ServerExchange exchange) {
    exchange.respond(200, "text/plain", exchange.path() + " " + exchange.text() + ".");
  }

  private static void exchangeMany(Socket socket) throws IOException {
    for (int i = 0; i < REQUESTS; i++) {
      String body = "body" + i;
      send(socket, "POST /" + i + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + body.length());
      send(socket, "\r\n\r\n");
      send(socket, body);
      assertThat(readTo(socket.getInputStream(), "/" + i + " " + body + ".")).contains(" 200 ");
    }
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    socket.getOutputStream().flush();
  }

  private static String readTo(InputStream in, String end) throws IOException {
    StringBuilder text = new StringBuilder();
    while (text.indexOf(end) < 0) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("ended after " + text);
      }
      text.append((char) next);
    }
    return text.toString();
  }

  @Test
  void answersWhereItIsCalledAndReadsTheNextRequest() throws Exception {
    exchangeMany(connect(HttpServerTest::answer));
  }

  @Test
  void answersOnAnotherThreadAndReadsTheNextRequest() throws Exception {
    exchangeMany(connect(exchange -> other.execute(() -> answer(exchange))));
  }

  @Test
  void answersOnBothByTurns() throws Exception {
    exchangeMany(
        connect(
            exchange -> {
              if (exchange.path().length() % 2 == 0) {
                answer(exchange);
              } else {
                other.execute(() -> answer(exchange));
              }
            }));
  }

  @Test
  void answersRequestsThatComeBeforeEarlierAnswersInOrder() throws Exception {
    BlockingQueue<ServerExchange> taken = new LinkedBlockingQueue<>();
    Socket socket = connect(taken::add);
    send(socket, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n");
    ServerExchange first = taken.take();
    send(socket, "GET /second HTTP/1.1\r\nHost: h\r\n\r\n");
    CountDownLatch caughtUp = new CountDownLatch(1);
    first.afterPendingReads(caughtUp::countDown);
    assertThat(caughtUp.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    assertThat(taken).isEmpty();
    answer(first);
    answer(taken.take());
    assertThat(readTo(socket.getInputStream(), "/second .")).contains("/first .");
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 60_000})
  void cutsOffACallerThatSendsRequestsWithoutEndAfterTheAnswersThatAreDue(int bodyBytes)
      throws Exception {
    BlockingQueue<ServerExchange> taken = new LinkedBlockingQueue<>();
    Socket socket = connect(taken::add);
    String request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
    byte[] bytes = (request + "x".repeat(bodyBytes)).getBytes(StandardCharsets.US_ASCII);
    AtomicLong sent = new AtomicLong();
    Future<?> sender =
        other.submit(
            () -> {
              for (int i = 0; i < 100_000_000; i++) {
                socket.getOutputStream().write(bytes);
                sent.addAndGet(bytes.length);
              }
              return null;
            });
    ServerExchange first = taken.take();
    assertThat(Polling.await(() -> sent.get() > MANY_BYTES, TIMEOUT)).isTrue();
    assertThat(taken).isEmpty();
    Future<byte[]> reader = readers.submit(() -> socket.getInputStream().readAllBytes());
    answer(first);
    int answers = 1;
    for (ServerExchange next = taken.take(); next != null; next = taken.poll(1, SECONDS)) {
      answer(next);
      answers++;
    }
    String received = new String(reader.get(), StandardCharsets.US_ASCII);
    assertThat(received.split("HTTP/1.1 200 ", -1)).hasSize(answers + 1);
    assertThat(answers).isLessThanOrEqualTo(33);
    assertThatThrownBy(sender::get).hasCauseInstanceOf(SocketException.class);
  }

  @Test
  void tellsACallerToSendTheBodyThatItHoldsBack() throws Exception {
    Socket socket = connect(HttpServerTest::answer);
    send(socket, "POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n");
    send(socket, "Content-Length: 4\r\n\r\n");
    assertThat(readTo(socket.getInputStream(), "\r\n\r\n")).startsWith("HTTP/1.1 100 ");
    send(socket, "body");
    assertThat(readTo(socket.getInputStream(), "/b body.")).contains(" 200 ");
  }

  @Test
  void closesAConnectionThatIsIdleForTooLong() throws Exception {
    ServerOptions options = new ServerOptions(8192, 65_536, Duration.ofMillis(100), 1);
    Socket socket = connect(HttpServerTest::answer, options);
    send(socket, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    assertThat(readTo(socket.getInputStream(), "/a .")).contains(" 200 ");
    assertThat(socket.getInputStream().read()).isEqualTo(-1);
  }

  @Test
  void closesTheConnectionOfACallerThatAsksForIt() throws Exception {
    Socket socket = connect(HttpServerTest::answer);
    send(socket, "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    assertThat(readTo(socket.getInputStream(), "/a .")).containsIgnoringCase("connection: close");
    assertThat(socket.getInputStream().read()).isEqualTo(-1);
  }

  @Test
  void goesOnAfterAnAnswerWhoseEndHasNoBytesOfItsOwn() throws Exception {
    Socket socket =
        connect(
            exchange -> {
              exchange.start(200, HeaderFields.NONE, exchange.path().length());
              exchange.write(exchange.path().getBytes(StandardCharsets.US_ASCII));
              exchange.end();
            });
    for (int i = 0; i < 10; i++) {
      send(socket, "GET /" + i + "- HTTP/1.1\r\nHost: h\r\n\r\n");
      assertThat(readTo(socket.getInputStream(), "/" + i + "-")).contains(" 200 ");
    }
  }

  @Test
  void readsRequestsThatComeTogether() throws Exception {
    Socket socket = connect(exchange -> other.execute(() -> answer(exchange)));
    String requests = "";
    for (int i = 0; i < 5; i++) {
      requests += "POST /p" + i + " HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx";
    }
    send(socket, requests);
    assertThat(readTo(socket.getInputStream(), "/p4 x.")).contains("/p0 x.", "/p1 x.", "/p3 x.");
  }
}
