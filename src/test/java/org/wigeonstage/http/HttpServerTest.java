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

/**
 * Tests an {@link HttpServer} over plain sockets, with handlers that respond before they return or
 * later on another thread.
 */
class HttpServerTest {

  private static final int TIMEOUT_MILLIS = 20_000;
  private static final Duration TIMEOUT = Duration.ofMillis(TIMEOUT_MILLIS);
  private static final int REQUEST_COUNT = 2000;

  /** More than the buffers of a connection hold, so that the server must have read some of it. */
  private static final long MORE_THAN_BUFFERED_BYTES = 64L * 1024 * 1024;

  private final Closer closer = Closer.create();
  private final ExecutorService otherThread = Executors.newSingleThreadExecutor();
  private final ExecutorService readerThread = Executors.newSingleThreadExecutor();

  @AfterEach
  void close() throws IOException {
    otherThread.shutdownNow();
    readerThread.shutdownNow();
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

  private static void respond(ServerExchange exchange) {
    exchange.respond(200, "text/plain", exchange.path() + " " + exchange.text() + ".");
  }

  private static void sendManyRequests(Socket socket) throws IOException {
    for (int i = 0; i < REQUEST_COUNT; i++) {
      String body = "body" + i;
      send(socket, "POST /" + i + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + body.length());
      send(socket, "\r\n\r\n");
      send(socket, body);
      assertThat(readUntil(socket.getInputStream(), "/" + i + " " + body + ".")).contains(" 200 ");
    }
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    socket.getOutputStream().flush();
  }

  private static String readUntil(InputStream in, String end) throws IOException {
    StringBuilder text = new StringBuilder();
    while (text.indexOf(end) < 0) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("connection closed after " + text);
      }
      text.append((char) next);
    }
    return text.toString();
  }

  @Test
  void readsTheNextRequestAfterResponseFromTheHandlerThread() throws Exception {
    sendManyRequests(connect(HttpServerTest::respond));
  }

  @Test
  void readsTheNextRequestAfterResponseFromAnotherThread() throws Exception {
    sendManyRequests(connect(exchange -> otherThread.execute(() -> respond(exchange))));
  }

  @Test
  void readsTheNextRequestAfterResponsesFromAlternatingThreads() throws Exception {
    sendManyRequests(
        connect(
            exchange -> {
              if (exchange.path().length() % 2 == 0) {
                respond(exchange);
              } else {
                otherThread.execute(() -> respond(exchange));
              }
            }));
  }

  @Test
  void respondsToPipelinedRequestsInOrder() throws Exception {
    BlockingQueue<ServerExchange> exchanges = new LinkedBlockingQueue<>();
    Socket socket = connect(exchanges::add);
    send(socket, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n");
    ServerExchange first = exchanges.take();
    send(socket, "GET /second HTTP/1.1\r\nHost: h\r\n\r\n");
    CountDownLatch readsProcessed = new CountDownLatch(1);
    first.afterPendingReads(readsProcessed::countDown);
    assertThat(readsProcessed.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    assertThat(exchanges).isEmpty();
    respond(first);
    respond(exchanges.take());
    assertThat(readUntil(socket.getInputStream(), "/second .")).contains("/first .");
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 60_000})
  void closesTheConnectionOfAnEndlessSenderAfterThePendingResponses(int bodyBytes)
      throws Exception {
    BlockingQueue<ServerExchange> exchanges = new LinkedBlockingQueue<>();
    Socket socket = connect(exchanges::add);
    String request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
    byte[] bytes = (request + "x".repeat(bodyBytes)).getBytes(StandardCharsets.US_ASCII);
    AtomicLong sentBytes = new AtomicLong();
    Future<?> sender =
        otherThread.submit(
            () -> {
              for (int i = 0; i < 100_000_000; i++) {
                socket.getOutputStream().write(bytes);
                sentBytes.addAndGet(bytes.length);
              }
              return null;
            });
    ServerExchange first = exchanges.take();
    assertThat(Polling.await(() -> sentBytes.get() > MORE_THAN_BUFFERED_BYTES, TIMEOUT)).isTrue();
    assertThat(exchanges).isEmpty();
    Future<byte[]> reader = readerThread.submit(() -> socket.getInputStream().readAllBytes());
    respond(first);
    int responses = 1;
    for (ServerExchange next = exchanges.take(); next != null; next = exchanges.poll(1, SECONDS)) {
      respond(next);
      responses++;
    }
    String received = new String(reader.get(), StandardCharsets.US_ASCII);
    assertThat(received.split("HTTP/1.1 200 ", -1)).hasSize(responses + 1);
    // The first request and 32 queued ones.
    assertThat(responses).isLessThanOrEqualTo(33);
    assertThatThrownBy(sender::get).hasCauseInstanceOf(SocketException.class);
  }

  @Test
  void sendsContinueToACallerThatExpectsIt() throws Exception {
    Socket socket = connect(HttpServerTest::respond);
    send(socket, "POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n");
    send(socket, "Content-Length: 4\r\n\r\n");
    assertThat(readUntil(socket.getInputStream(), "\r\n\r\n")).startsWith("HTTP/1.1 100 ");
    send(socket, "body");
    assertThat(readUntil(socket.getInputStream(), "/b body.")).contains(" 200 ");
  }

  @Test
  void closesAConnectionAfterTheIdleTimeout() throws Exception {
    ServerOptions options = new ServerOptions(8192, 65_536, Duration.ofMillis(100), 1);
    Socket socket = connect(HttpServerTest::respond, options);
    send(socket, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    assertThat(readUntil(socket.getInputStream(), "/a .")).contains(" 200 ");
    assertThat(socket.getInputStream().read()).isEqualTo(-1);
  }

  @Test
  void closesTheConnectionIfTheCallerAsksForIt() throws Exception {
    Socket socket = connect(HttpServerTest::respond);
    send(socket, "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    assertThat(readUntil(socket.getInputStream(), "/a ."))
        .containsIgnoringCase("connection: close");
    assertThat(socket.getInputStream().read()).isEqualTo(-1);
  }

  @Test
  void readsTheNextRequestAfterAnEmptyLastWrite() throws Exception {
    Socket socket =
        connect(
            exchange -> {
              exchange.start(200, HeaderFields.NONE, exchange.path().length());
              exchange.write(exchange.path().getBytes(StandardCharsets.US_ASCII));
              exchange.end();
            });
    for (int i = 0; i < 10; i++) {
      send(socket, "GET /" + i + "- HTTP/1.1\r\nHost: h\r\n\r\n");
      assertThat(readUntil(socket.getInputStream(), "/" + i + "-")).contains(" 200 ");
    }
  }

  @Test
  void readsRequestsThatArriveInOnePacket() throws Exception {
    Socket socket = connect(exchange -> otherThread.execute(() -> respond(exchange)));
    String requests = "";
    for (int i = 0; i < 5; i++) {
      requests += "POST /p" + i + " HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx";
    }
    send(socket, requests);
    assertThat(readUntil(socket.getInputStream(), "/p4 x.")).contains("/p0 x.", "/p1 x.", "/p3 x.");
  }
}
