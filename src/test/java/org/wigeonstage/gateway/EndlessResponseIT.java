package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.io.Closer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeonstage.common.Polling;
import org.wigeonstage.http.Endpoint;

/**
 * Guards against gateways that retain all bytes of servers that send without end, in a head or in a
 * body, to callers that don't read.
 */
class EndlessResponseIT {

  private static final int CALLERS = 4;
  private static final Duration LENGTH = Duration.ofSeconds(2);
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  /** The buffers of the sockets and of the gateway, for each caller and attempt. */
  private static final long MAX_BYTES_PER_CALLER = 16 * 1024 * 1024;

  private static final int PART_BYTES = 16 * 1024;

  private final Closer closer = Closer.create();
  private final AtomicLong sentBytes = new AtomicLong();

  @AfterEach
  void stop() throws IOException {
    closer.close();
  }

  /** Starts a server that answers each connection with the same part again and again. */
  private Endpoint startServer(String head, String part) throws IOException {
    ServerSocket serverSocket =
        closer.register(new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1")));
    String parts = part.repeat(Math.max(1, PART_BYTES / part.length()));
    start(
        () -> {
          while (true) {
            Socket socket = closer.register(serverSocket.accept());
            start(() -> sendWithoutEnd(socket, head, parts));
          }
        });
    return new Endpoint("127.0.0.1", serverSocket.getLocalPort());
  }

  private interface Task {
    void run() throws IOException;
  }

  private static void start(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // The gateway has closed the connection, or the test has ended.
              }
            },
            "endless-server");
    thread.setDaemon(true);
    thread.start();
  }

  private void sendWithoutEnd(Socket socket, String head, String parts) throws IOException {
    byte[] request = new byte[PART_BYTES];
    int length = socket.getInputStream().read(request);
    String text = new String(request, 0, Math.max(0, length), StandardCharsets.ISO_8859_1);
    String id = text.replaceAll("(?s).*Attempt-Id: (\\S+).*", "$1");
    OutputStream out = socket.getOutputStream();
    out.write(head.replace("ID", id).getBytes(StandardCharsets.ISO_8859_1));
    byte[] bytes = parts.getBytes(StandardCharsets.ISO_8859_1);
    while (true) {
      out.write(bytes);
      sentBytes.addAndGet(bytes.length);
    }
  }

  @ParameterizedTest
  @CsvSource({
    "plain, '', a",
    "plain, '', 'HTTP/1.1 200 OK|X: y|'",
    "plain, 'HTTP/1.1 200 OK|', 'X-Field: 0123456789|'",
    "plain, 'HTTP/1.1 200 OK|Response-Signature: s|Attempt-Id: ID|||', a",
    "plain, 'HTTP/1.1 200 OK|Response-Signature: s|Attempt-Id: ID|Content-Length: 9999999999||', a",
    "plain, 'HTTP/1.1 200 OK|Response-Signature: s|Attempt-Id: ID|Transfer-Encoding: chunked||',"
        + " '4|aaaa|'",
    "plain, 'HTTP/1.1 200 OK|Response-Signature: s|Attempt-Id: ID|Content-Length: 2||ok', a",
    "stream, 'HTTP/1.1 200 OK|Response-Signature: s|Attempt-Id: ID|Content-Type:"
        + " text/event-stream||', a",
    "stream, 'HTTP/1.1 200 OK|Response-Signature: s|Attempt-Id: ID|Content-Type:"
        + " text/event-stream||', ': comment||'",
    "stream, 'HTTP/1.1 200 OK|Response-Signature: s|Attempt-Id: ID|Content-Type:"
        + " text/event-stream||', '|'"
  })
  void bytesWithoutEndAreNotRetainedAndOtherRequestsAreAnswered(
      String route, String head, String part) throws Exception {
    Endpoint endless = startServer(lines(head), lines(part));
    GatewayFixture fixture = closer.register(new GatewayFixture(1));
    fixture.awaitStatus("status", 200);
    fixture.store.write(
        "servers",
        "endless",
        JsonNodeFactory.instance
            .objectNode()
            .put("service", "engines")
            .put("address", endless.toString())
            .put("zone", "zone-a")
            .put("version", "v1")
            .put("slot_count", 50)
            .put("state", "ready")
            .put("cold_remaining_ms", 0)
            .put("sequence", 1));
    List<Socket> callers = new ArrayList<>();
    assertThat(
            Polling.await(
                () -> sentBytes.get() > 0 || isSendingTo(fixture, route, callers), TIMEOUT))
        .isTrue();
    for (int i = callers.size(); i < CALLERS; i++) {
      callers.add(closer.register(fixture.send(route, "endless-" + i, "Deadline-Ms: 10000\r\n")));
    }
    Thread.sleep(LENGTH.toMillis());
    int attempts = 2 * callers.size();
    assertThat(sentBytes.get()).isLessThan(attempts * MAX_BYTES_PER_CALLER);
    fixture.store.remove("servers", "endless");
    fixture.awaitStatus("status", 200);
  }

  private boolean isSendingTo(GatewayFixture fixture, String route, List<Socket> callers) {
    try {
      callers.add(
          closer.register(
              fixture.send(route, "first-" + callers.size(), "Deadline-Ms: 10000\r\n")));
      return false;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static String lines(String text) {
    return text.replace("|", "\r\n");
  }
}
