package org.wigeonstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.io.Closer;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Callers that close their connection while their request is being handled. */
class CallerLeavesTest {

  private static final int CALLERS = 20;
  private static final long TIMEOUT_SECONDS = 20;

  private final Closer closer = Closer.create();
  private final BlockingQueue<CountDownLatch> taken = new LinkedBlockingQueue<>();
  private final AtomicReference<ServerExchange> lastTaken = new AtomicReference<>();
  private final HttpServer server =
      closer.register(
          HttpServer.start(
              "test",
              new Endpoint("127.0.0.1", 0),
              new ServerOptions(8192, 65_536, Duration.ofSeconds(30), 1),
              this::take));

  private void take(ServerExchange exchange) {
    CountDownLatch gone = new CountDownLatch(1);
    exchange.onDisconnect(gone::countDown);
    lastTaken.set(exchange);
    taken.add(gone);
  }

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  /** GONE: only the failure to write an answer showed that the caller of such a request left. */
  @Test
  void isToldThatACallerLeftWhileItsRequestWithABodyIsOpen() throws Exception {
    leaveOften("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody");
  }

  @Test
  void isToldThatACallerLeftWhileItsRequestWithoutABodyIsOpen() throws Exception {
    leaveOften("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  }

  /** The listener of each action that is replaced would stay with a connection for its life. */
  @Test
  void isToldOnceWhereAnActionReplacedAnother() throws Exception {
    Socket socket = new Socket("127.0.0.1", server.endpoint().port());
    socket
        .getOutputStream()
        .write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    CountDownLatch replaced = taken.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    CountDownLatch gone = new CountDownLatch(1);
    lastTaken.get().onDisconnect(gone::countDown);
    socket.close();
    assertThat(gone.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    assertThat(replaced.getCount()).isEqualTo(1);
  }

  private void leaveOften(String request) throws Exception {
    for (int i = 0; i < CALLERS; i++) {
      Socket socket = new Socket("127.0.0.1", server.endpoint().port());
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      CountDownLatch gone = taken.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertThat(gone).isNotNull();
      socket.close();
      assertThat(gone.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }
  }
}
