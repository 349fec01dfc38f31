package org.wigeonstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.io.Closer;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wigeonstage.request.HeaderFields;

/** Tests callers that close their connection while their request is being handled. */
class CallerDisconnectTest {

  private static final int CALLER_COUNT = 20;
  private static final long TIMEOUT_SECONDS = 20;
  private static final int PART_BYTES = 16;
  private static final int MAX_UNDELIVERED_BYTES = 1024 * 1024;

  private final Closer closer = Closer.create();
  private final BlockingQueue<CountDownLatch> disconnectLatches = new LinkedBlockingQueue<>();
  private final AtomicReference<ServerExchange> lastExchange = new AtomicReference<>();
  private final HttpServer server =
      closer.register(
          HttpServer.start(
              "test",
              new Endpoint("127.0.0.1", 0),
              new ServerOptions(8192, 65_536, Duration.ofSeconds(30), 1),
              this::handle));

  private void handle(ServerExchange exchange) {
    CountDownLatch disconnected = new CountDownLatch(1);
    exchange.onDisconnect(disconnected::countDown);
    lastExchange.set(exchange);
    disconnectLatches.add(disconnected);
  }

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  /**
   * Guards against requests that run for callers that have disconnected: the disconnect of a caller
   * whose request had a body was only detected when writing the response failed.
   */
  @Test
  void disconnectDuringARequestWithABodyRunsTheAction() throws Exception {
    disconnectRepeatedly("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody");
  }

  @Test
  void disconnectDuringARequestWithoutABodyRunsTheAction() throws Exception {
    disconnectRepeatedly("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  }

  /** Guards against a leak: listeners of replaced actions would stay with the connection. */
  @Test
  void disconnectRunsOnlyTheLastAction() throws Exception {
    Socket socket = new Socket("127.0.0.1", server.endpoint().port());
    socket
        .getOutputStream()
        .write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    CountDownLatch replaced = disconnectLatches.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    CountDownLatch disconnected = new CountDownLatch(1);
    lastExchange.get().onDisconnect(disconnected::countDown);
    socket.close();
    assertThat(disconnected.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    assertThat(replaced.getCount()).isEqualTo(1);
  }

  /**
   * Guards against a request that ends inside the step that writes a part of its response: the
   * thread that writes is the first to notice that a caller has reset its connection.
   */
  @Test
  void failedWriteDoesNotRunTheActionOnTheWritingThread() throws Exception {
    for (int i = 0; i < CALLER_COUNT; i++) {
      Socket socket = new Socket("127.0.0.1", server.endpoint().port());
      socket.setSoLinger(true, 0);
      socket
          .getOutputStream()
          .write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      assertThat(disconnectLatches.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isNotNull();
      ServerExchange exchange = lastExchange.get();
      CompletableFuture<Thread> disconnectThread = new CompletableFuture<>();
      exchange.onDisconnect(() -> disconnectThread.complete(Thread.currentThread()));
      exchange.start(200, HeaderFields.NONE, -1);
      socket.close();
      while (!disconnectThread.isDone() && exchange.undeliveredBytes() < MAX_UNDELIVERED_BYTES) {
        exchange.write(new byte[PART_BYTES]);
      }
      assertThat(disconnectThread.get(TIMEOUT_SECONDS, TimeUnit.SECONDS))
          .isNotEqualTo(Thread.currentThread());
    }
  }

  private void disconnectRepeatedly(String request) throws Exception {
    for (int i = 0; i < CALLER_COUNT; i++) {
      Socket socket = new Socket("127.0.0.1", server.endpoint().port());
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      CountDownLatch disconnected = disconnectLatches.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertThat(disconnected).isNotNull();
      socket.close();
      assertThat(disconnected.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }
  }
}
