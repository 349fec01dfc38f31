package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonstage.gateway.GatewayFixture.statusOf;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.io.Closer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.Polling;
import org.wigeonstage.gateway.ScriptedServer.Ending;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.platform.standin.Rehearsal;

/**
 * Guards against gateways that blame a server for a response that a caller did not read, and
 * against a bound on memory that sheds more urgent requests first.
 */
class UnreadResponseIT {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int CUT_AFTER_MILLIS = 2500;

  /** More than the bound has room for. */
  private static final int MAX_BODIES = 10;

  private final Closer closer = Closer.create();
  private final DecisionLogCapture decisions = closer.register(new DecisionLogCapture());
  private final AtomicInteger laterRequests = new AtomicInteger();
  private GatewayFixture fixture;

  @AfterEach
  void stop() throws IOException {
    closer.close();
  }

  private void start() {
    ObjectNode configuration = Rehearsal.configuration();
    for (int rank = 0; rank < 3; rank++) {
      ((ObjectNode) configuration.path("routes").get(rank))
          .put("timeout_ms", 15_000)
          .put("priority", rank);
    }
    ObjectNode settings = JsonNodeFactory.instance.objectNode();
    settings.put("memoryMegabytes", 64).put("revocationMillis", 60_000);
    settings.putArray("features").add("pressure");
    fixture = closer.register(new GatewayFixture(0, configuration, settings));
  }

  /** Starts a server that sends events to the first stream for as long as it is read. */
  private Endpoint startImpatientServer() throws IOException {
    ServerSocket serverSocket =
        closer.register(new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1")));
    Thread acceptor =
        new Thread(
            () -> {
              try {
                while (true) {
                  Socket socket = closer.register(serverSocket.accept());
                  Thread thread = new Thread(() -> serve(socket), "impatient-connection");
                  thread.setDaemon(true);
                  thread.start();
                }
              } catch (IOException e) {
                // The test has ended.
              }
            },
            "impatient-server");
    acceptor.setDaemon(true);
    acceptor.start();
    return new Endpoint("127.0.0.1", serverSocket.getLocalPort());
  }

  private void serve(Socket socket) {
    try {
      byte[] buffer = new byte[8192];
      while (true) {
        int length = socket.getInputStream().read(buffer);
        if (length < 0) {
          return;
        }
        String text = new String(buffer, 0, length, StandardCharsets.ISO_8859_1);
        String id = text.replaceAll("(?is).*attempt-id: (\\S+).*", "$1");
        if (id.equals("unread")) {
          stream(socket, id);
          return;
        }
        laterRequests.addAndGet(id.startsWith("later") ? 1 : 0);
        Thread.sleep(id.startsWith("later") ? 300 : 0);
        send(socket, ScriptedServer.success(id));
      }
    } catch (IOException e) {
      // The gateway has closed the connection, or the stream was cut off.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static void stream(Socket socket, String id) throws IOException {
    CompletableFuture.runAsync(
        () -> {
          try {
            Thread.sleep(CUT_AFTER_MILLIS);
            socket.setSoLinger(true, 0);
            socket.close();
          } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
          }
        });
    send(socket, StreamText.head(id, "200 OK", "Content-Type: text/event-stream\r\n"));
    String data = "x".repeat(4000);
    for (int event = 1; ; event++) {
      send(socket, "id: " + event + "\ndata: " + data + "\n\n");
    }
  }

  private Socket connectWithSmallBuffer() throws IOException {
    Socket socket = closer.register(new Socket());
    socket.setReceiveBufferSize(4096);
    socket.connect(new InetSocketAddress("127.0.0.1", fixture.gateway.callersEndpoint().port()));
    return socket;
  }

  @Test
  void serverThatCutsOffAnUnreadResponseIsNotBlamed() throws Exception {
    start();
    fixture.store.write(
        "servers", "impatient", ScriptedServer.registration(startImpatientServer()));
    fixture.awaitStatus("status", 200);
    Socket caller = connectWithSmallBuffer();
    send(
        caller,
        "POST /stream/x HTTP/1.1\r\nHost: 127.0.0.1\r\nAttempt-Id: unread\r\nCredential: key\r\n"
            + "Deadline-Ms: 14000\r\nToken-Count: 10,20\r\nContent-Length: 0\r\n\r\n");
    Thread.sleep(200); // the stream is at the only server
    ScriptedServer other =
        closer.register(
            new ScriptedServer(
                (id, position) ->
                    id.equals("unread")
                        ? StreamText.chunkedHead(id) + StreamText.LAST_CHUNK
                        : ScriptedServer.success(id),
                Ending.KEPT));
    fixture.store.write("servers", "other", other.registration());
    Thread.sleep(CUT_AFTER_MILLIS + 500);
    // With the small buffer, the rest may take longer to read than the request has time.
    caller.setReceiveBufferSize(1 << 20);
    caller.setSoTimeout((int) TIMEOUT.toMillis());
    byte[] buffer = new byte[65_536];
    Polling.await(
        () -> {
          try {
            return caller.getInputStream().read(buffer) < 0
                || !decisions.linesOf("attempt-ended").isEmpty();
          } catch (IOException e) {
            throw new IllegalStateException(e);
          }
        },
        TIMEOUT);
    assertThat(decisions.linesOf("attempt-ended").get(0))
        .contains("\"request\":\"unread\"", "\"end\":\"CUT\"", "\"stayedUnread\":true")
        .contains("\"closedBy\":\"server\"");
    List<CompletableFuture<String>> later =
        IntStream.range(0, 6)
            .mapToObj(i -> CompletableFuture.supplyAsync(() -> request("later-" + i)))
            .toList();
    assertThat(later).allMatch(response -> statusOf(response.join()) == 200);
    assertThat(laterRequests).hasPositiveValue();
  }

  private String request(String id) {
    try {
      return fixture.request("status", id);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Sends the head of a request with a large body. */
  private Socket begin(String route) throws IOException {
    Socket socket =
        closer.register(new Socket("127.0.0.1", fixture.gateway.callersEndpoint().port()));
    socket.setSoTimeout((int) Duration.ofSeconds(1).toMillis());
    send(
        socket,
        "POST /%s/x HTTP/1.1\r\nHost: 127.0.0.1\r\nAttempt-Id: b\r\nCredential: key\r\n"
                .formatted(route)
            + "Content-Length: 2000000\r\n\r\nx");
    return socket;
  }

  private int admitted(String route) throws IOException {
    int count = 0;
    while (count < MAX_BODIES) {
      try {
        byte[] status = begin(route).getInputStream().readNBytes(12);
        assertThat(new String(status, StandardCharsets.ISO_8859_1)).isEqualTo("HTTP/1.1 503");
        return count;
      } catch (SocketTimeoutException e) {
        count++;
      }
    }
    throw new AssertionError("no request was rejected");
  }

  @Test
  void largeBodiesOfLessUrgentRoutesAreRejectedFirst() throws Exception {
    start();
    ScriptedServer server =
        closer.register(
            new ScriptedServer((id, position) -> ScriptedServer.success(id), Ending.KEPT));
    fixture.store.write("servers", "scripted", server.registration());
    fixture.awaitStatus("status", 200);
    int ofLeastUrgent = admitted("stream");
    int ofMiddle = admitted("status");
    int ofMostUrgent = admitted("plain");
    assertThat(ofLeastUrgent).isPositive();
    assertThat(ofMiddle + ofMostUrgent).isPositive();
    assertThat(ofLeastUrgent + ofMiddle + ofMostUrgent).isEqualTo(8); // of 16 MiB
  }
}
