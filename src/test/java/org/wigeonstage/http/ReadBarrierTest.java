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
  private static final int BARRIER_COUNT = 20_000;
  private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  private static final OutboundCall CALL =
      new OutboundCall("GET", "/", "localhost", HeaderFields.NONE, new byte[0]);

  private final List<String> events = new CopyOnWriteArrayList<>();
  private final CountDownLatch blocked = new CountDownLatch(1);
  private final CountDownLatch release = new CountDownLatch(1);

  /** Records the end of its call; if blocking, blocks the selector thread when the head arrives. */
  private final class RecordingListener extends NoOpResponseListener {

    private final String name;
    private final boolean isBlocking;

    RecordingListener(String name, boolean isBlocking) {
      this.name = name;
      this.isBlocking = isBlocking;
    }

    @Override
    public void onHead(ResponseHead head) {
      if (isBlocking) {
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
      events.add(name);
    }

    @Override
    public void onConnectFailure(Throwable cause) {
      events.add(name + " not connected");
    }

    @Override
    public void onFailure(Throwable cause) {
      events.add(name + " failed");
    }
  }

  @Test
  void runsTheActionAfterAllDataThatArrivedBefore() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        PooledHttpClient client = PooledHttpClient.start("test", 1, MonotonicClock.system())) {
      Endpoint endpoint = new Endpoint("127.0.0.1", server.getLocalPort());
      client.send(endpoint, CALL, Duration.ZERO, new RecordingListener("first", true));
      client.send(endpoint, CALL, Duration.ZERO, new RecordingListener("second", false));
      try (Socket first = accept(server);
          Socket second = accept(server)) {
        respond(first);
        respond(second);
        assertThat(blocked.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isTrue();
        client.afterPendingReads(() -> events.add("barrier passed"));
        assertThat(events).doesNotContain("barrier passed");
        release.countDown();
        assertThat(Polling.await(() -> events.size() == 3, TIMEOUT)).isTrue();
        assertThat(events).endsWith("barrier passed");
      }
    }
  }

  /** Guards against a lost wake-up: a selection must not consume the signal for an added task. */
  @Test
  void runsEachActionOnAServerThatReceivesNothing() throws Exception {
    CountDownLatch handled = new CountDownLatch(1);
    AtomicReference<ServerExchange> currentExchange = new AtomicReference<>();
    RequestHandler handler =
        exchange -> {
          currentExchange.set(exchange);
          handled.countDown();
        };
    try (HttpServer server = HttpServer.start("test", new Endpoint("127.0.0.1", 0), 1000, handler);
        Socket caller = new Socket("127.0.0.1", server.endpoint().port())) {
      caller
          .getOutputStream()
          .write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      assertThat(handled.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isTrue();
      for (int i = 0; i < BARRIER_COUNT; i++) {
        CountDownLatch passed = new CountDownLatch(1);
        currentExchange.get().afterPendingReads(passed::countDown);
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

  private static void respond(Socket socket) throws IOException {
    OutputStream out = socket.getOutputStream();
    out.write(RESPONSE.getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }
}
