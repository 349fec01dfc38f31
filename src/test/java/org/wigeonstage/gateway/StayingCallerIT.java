package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonstage.gateway.ScriptedServer.PAUSE;
import static org.wigeonstage.gateway.StreamText.LAST_CHUNK;
import static org.wigeonstage.gateway.StreamText.bodyOf;
import static org.wigeonstage.gateway.StreamText.chunk;
import static org.wigeonstage.gateway.StreamText.chunkedHead;
import static org.wigeonstage.gateway.StreamText.event;
import static org.wigeonstage.gateway.StreamText.events;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.io.Closer;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonstage.common.Polling;
import org.wigeonstage.gateway.ScriptedServer.Ending;

/** Guards against streams that are cut because a caller who stays is taken for one who left. */
class StayingCallerIT {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int EVENTS = 20;
  private static final int LARGE_EVENTS = 60;
  private static final int LARGE_EVENT_BYTES = 60_000;
  private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;
  private static final int SLOW_READ_BYTES = 64 * 1024;
  private static final int SLOTS = 200;
  private static final int CALLERS = 60;
  private static final long SEED = 47;

  private final Closer closer = Closer.create();
  private final ExecutorService callers = Executors.newCachedThreadPool();
  private ScriptedServer server;
  private GatewayFixture fixture;

  @BeforeEach
  void start() throws Exception {
    server =
        closer.register(ScriptedServer.afterWarmUp((id, position) -> respond(id), Ending.KEPT));
    ObjectNode configuration = GatewayFixture.singleAttemptConfiguration(TIMEOUT);
    fixture = closer.register(GatewayFixture.with(server, configuration));
    fixture.store.write("servers", "scripted", server.registration().put("slot_count", SLOTS));
  }

  @AfterEach
  void stop() throws IOException {
    callers.shutdownNow();
    closer.close();
  }

  private static String respond(String id) {
    if (id.startsWith("plain")) {
      return ScriptedServer.success(id);
    }
    StringBuilder response = new StringBuilder(chunkedHead(id));
    int count = id.startsWith("large") ? LARGE_EVENTS : EVENTS;
    for (int number = 1; number <= count; number++) {
      String event = id.startsWith("large") ? largeEvent(number) : event(number);
      response.append(chunk(event)).append(PAUSE.repeat(id.startsWith("large") ? 0 : 5));
    }
    return response.append(LAST_CHUNK).toString();
  }

  private static String largeEvent(int number) {
    return "id: " + number + "\ndata: " + "x".repeat(LARGE_EVENT_BYTES) + "\n\n";
  }

  private static String request(String route, String id, String fields) {
    return "POST /%s/x HTTP/1.1\r\nHost: 127.0.0.1\r\nAttempt-Id: %s\r\nCredential: key\r\n%sContent-Length: 0\r\n\r\n"
        .formatted(route, id, fields);
  }

  private Socket connect() throws IOException {
    Socket socket = closer.register(GatewayFixture.connect(fixture.gateway));
    socket.setSoTimeout((int) TIMEOUT.toMillis());
    socket.setTcpNoDelay(true);
    return socket;
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private void awaitReceived(String id) throws InterruptedException {
    assertThat(Polling.await(() -> server.receivedCount(id) > 0, TIMEOUT)).isTrue();
  }

  /** Reads up to the end of the first response, which is chunked. */
  private static String readFirstResponse(InputStream input) throws IOException {
    StringBuilder response = new StringBuilder();
    for (int next = input.read(); next >= 0; next = input.read()) {
      response.append((char) next);
      if (next == '\n' && response.toString().endsWith("\r\n" + LAST_CHUNK)) {
        return response.toString();
      }
    }
    return response.toString();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "\r\n",
        "\n",
        "\r",
        "\r\n\r\n",
        " ",
        "P",
        "POST /plain/x HTTP/1.1\r\nHost: 127",
        "POST /plain/x HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 10\r\n\r\n1234",
        "POST /plain/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "garbage\r\n\r\n",
        "\u0000\u0001\u0002\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n"
      })
  void streamIsWholeThoughMoreBytesFollowItsRequest(String bytes) throws Exception {
    for (boolean isInSameWrite : new boolean[] {true, false}) {
      String id = "stream-" + isInSameWrite;
      try (Socket socket = connect()) {
        send(socket, request("stream", id, "") + (isInSameWrite ? bytes : ""));
        if (!isInSameWrite) {
          awaitReceived(id);
          send(socket, bytes);
        }
        String response = readFirstResponse(socket.getInputStream());
        assertThat(bodyOf(response)).as(id).isEqualTo(events(1, EVENTS) + LAST_CHUNK);
      }
      assertThat(server.receivedCount(id)).isEqualTo(1);
    }
  }

  @Test
  void streamIsWholeThoughTheNextRequestArrivesByteByByte() throws Exception {
    try (Socket socket = connect()) {
      send(socket, request("stream", "stream", ""));
      awaitReceived("stream");
      for (char octet : request("plain", "plain", "Connection: close\r\n").toCharArray()) {
        send(socket, String.valueOf(octet));
        Thread.sleep(1);
      }
      String responses =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      int second = responses.indexOf("HTTP/1.1", 1);
      assertThat(bodyOf(responses.substring(0, second))).isEqualTo(events(1, EVENTS) + LAST_CHUNK);
      assertThat(responses.substring(second)).startsWith("HTTP/1.1 200").contains("plain");
    }
  }

  @Test
  void streamIsWholeThoughItsCallerReadsSlowly() throws Exception {
    try (Socket socket = closer.register(new Socket())) {
      socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      socket.setSoTimeout((int) TIMEOUT.toMillis());
      socket.connect(new InetSocketAddress("127.0.0.1", fixture.gateway.callersEndpoint().port()));
      send(socket, request("stream", "large", "Connection: close\r\n"));
      StringBuilder response = new StringBuilder();
      byte[] part = socket.getInputStream().readNBytes(SLOW_READ_BYTES);
      while (part.length > 0) {
        response.append(new String(part, StandardCharsets.ISO_8859_1));
        Thread.sleep(5);
        part = socket.getInputStream().readNBytes(SLOW_READ_BYTES);
      }
      StringBuilder expected = new StringBuilder();
      for (int number = 1; number <= LARGE_EVENTS; number++) {
        expected.append(largeEvent(number));
      }
      assertThat(bodyOf(response.toString())).isEqualTo(expected + LAST_CHUNK);
    }
  }

  @Test
  void streamsAreWholeWhileOtherCallersResetTheirConnections() throws Exception {
    SplittableRandom random = new SplittableRandom(SEED);
    List<Callable<Void>> calls = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      String id = "stream-" + i;
      long delayMillis = random.nextInt(100);
      calls.add(() -> assertIsWhole(id, delayMillis));
      calls.add(() -> sendAndReset("leaving-" + id, delayMillis));
    }
    for (Future<Void> call : callers.invokeAll(calls)) {
      call.get();
    }
  }

  private Void assertIsWhole(String id, long delayMillis) throws Exception {
    Thread.sleep(delayMillis);
    String response = fixture.request("stream", id, TIMEOUT);
    assertThat(bodyOf(response)).isEqualTo(events(1, EVENTS) + LAST_CHUNK);
    assertThat(server.receivedCount(id)).isEqualTo(1);
    return null;
  }

  private Void sendAndReset(String id, long delayMillis) throws Exception {
    for (int round = 0; round < 4; round++) {
      try (Socket socket = GatewayFixture.connect(fixture.gateway)) {
        send(socket, request("stream", id + "-" + round, ""));
        Thread.sleep(delayMillis / 2);
        socket.setSoLinger(true, 0);
      }
    }
    return null;
  }
}
