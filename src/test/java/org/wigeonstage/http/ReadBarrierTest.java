package org.wigeonstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.common.Polling;
import org.wigeonstage.request.HeaderFields;

class ReadBarrierTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int BARRIERS = 20_000;
  private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  private static final OutboundCall CALL =
      new OutboundCall("GET", "/", "localhost", HeaderFields.NONE, new byte[0]);

  private final List<String> heard = new CopyOnWriteArrayList<>();
  private final CountDownLatch blocked = new CountDownLatch(1);
  private final CountDownLatch release = new CountDownLatch(1);

  /** Notes its end, and may block the thread that reads until it is released. */
  private final class Listener extends NoOpResponseListener {

    private final String name;
    private final boolean blocks;

    Listener(String name, boolean blocks) {
      this.name = name;
      this.blocks = blocks;
    }

    @Override
    public void onHead(ResponseHead head) {
      if (blocks) {
        blocked.countDown();
        try {
          release.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }

    @Override
    public void onComplete() {
      heard.add(name);
    }

    @Override
    public void onConnectFailure(Throwable cause) {
      heard.add(name + " not connected");
    }

    @Override
    public void onFailure(Throwable cause) {
      heard.add(name + " broken");
    }
  }

  @Test
  void actsOnlyAfterAllThatHadArrived() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        PooledHttpClient client = PooledHttpClient.start("test", 1, MonotonicClock.system())) {
      Endpoint endpoint = new Endpoint("127.0.0.1", server.getLocalPort());
      client.send(endpoint, CALL, Duration.ZERO, new Listener("first", true));
      client.send(endpoint, CALL, Duration.ZERO, new Listener("second", false));
      try (Socket first = accept(server);
          Socket second = accept(server)) {
        answer(first);
        answer(second);
        assertThat(blocked.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isTrue();
        client.afterPendingReads(() -> heard.add("caught up"));
        assertThat(heard).doesNotContain("caught up");
        release.countDown();
        assertThat(Polling.await(() -> heard.size() == 3, TIMEOUT)).isTrue();
        assertThat(heard).endsWith("caught up");
      }
    }
  }

  /** A look at what has come must not swallow the signal that a task was added meanwhile. */
  @Test
  void passesEachBarrierOfAServerThatHearsNothing() throws Exception {
    CountDownLatch taken = new CountDownLatch(1);
    AtomicReference<ServerExchange> open = new AtomicReference<>();
    RequestHandler handler =
        exchange -> {
          open.set(exchange);
          taken.countDown();
        };
    try (HttpServer server = HttpServer.start("test", new Endpoint("127.0.0.1", 0), 1000, handler);
        Socket caller = new Socket("127.0.0.1", server.endpoint().port())) {
      caller
          .getOutputStream()
          .write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      assertThat(taken.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isTrue();
      for (int i = 0; i < BARRIERS; i++) {
        CountDownLatch passed = new CountDownLatch(1);
        open.get().afterPendingReads(passed::countDown);
        assertThat(passed.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isTrue();
      }
    }
  }

  private static Socket accept(ServerSocket server) throws IOException {
    Socket socket = server.accept();
    InputStream in = socket.getInputStream();
    String request = "";
    while (!request.endsWith("\r\n\r\n")) {
      request += (char) in.read();
    }
    return socket;
  }

  private static void answer(Socket socket) throws IOException {
    OutputStream out = socket.getOutputStream();
    out.write(ANSWER.getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }
}
