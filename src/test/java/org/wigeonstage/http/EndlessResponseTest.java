package org.wigeonstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.request.HeaderFields;

/** Tests servers that send an endless head, chunk header or trailer of a response. */
class EndlessResponseTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  /** Far more than the buffers of the sockets and of the client hold. */
  private static final int MAX_SENT_BYTES = 64 * 1024 * 1024;

  private static final OutboundCall CALL =
      new OutboundCall("GET", "/", "localhost", HeaderFields.NONE, new byte[0]);
  private static final String CHUNKED_HEAD =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "HTTP/1.1 200 OK\r\nX-Field: ",
        CHUNKED_HEAD + "5;",
        CHUNKED_HEAD + "0\r\nX-Trailer: ",
      })
  void endlessResponseClosesTheConnectionAndFailsTheCall(String start) throws Exception {
    CountDownLatch failed = new CountDownLatch(1);
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        PooledHttpClient client = PooledHttpClient.start("test", 1, MonotonicClock.system())) {
      client.send(
          new Endpoint("127.0.0.1", server.getLocalPort()),
          CALL,
          Duration.ZERO,
          new NoOpResponseListener() {
            @Override
            public void onFailure(Throwable cause) {
              failed.countDown();
            }
          });
      try (Socket socket = server.accept()) {
        socket.setSoTimeout((int) TIMEOUT.toMillis());
        assertThat(sendUntilClosed(socket, start)).isLessThan(MAX_SENT_BYTES);
      }
      assertThat(failed.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isTrue();
    }
  }

  private static int sendUntilClosed(Socket socket, String start) {
    int sentBytes = 0;
    byte[] part = "a".repeat(16 * 1024).getBytes(StandardCharsets.US_ASCII);
    try {
      OutputStream out = socket.getOutputStream();
      out.write(start.getBytes(StandardCharsets.US_ASCII));
      while (sentBytes < MAX_SENT_BYTES) {
        out.write(part);
        sentBytes += part.length;
      }
      return sentBytes;
    } catch (IOException e) {
      return sentBytes;
    }
  }
}
