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

/** Servers that send bytes without end where an answer's head, or the frame of its body, is due. */
class EndlessAnswerTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  /** Far more than sockets and buffers on the way hold. */
  private static final int MAX_BYTES = 64 * 1024 * 1024;

  private static final OutboundCall CALL =
      new OutboundCall("GET", "/", "localhost", HeaderFields.NONE, new byte[0]);
  private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "HTTP/1.1 200 OK\r\nX-Field: ",
        CHUNKED + "5;",
        CHUNKED + "0\r\nX-Trailer: ",
      })
  void areCutOffAndReportedAsBroken(String beginning) throws Exception {
    CountDownLatch broken = new CountDownLatch(1);
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        PooledHttpClient client = PooledHttpClient.start("test", 1, MonotonicClock.system())) {
      client.send(
          new Endpoint("127.0.0.1", server.getLocalPort()),
          CALL,
          Duration.ZERO,
          new NoOpResponseListener() {
            @Override
            public void onFailure(Throwable cause) {
              broken.countDown();
            }
          });
      try (Socket socket = server.accept()) {
        socket.setSoTimeout((int) TIMEOUT.toMillis());
        assertThat(sentUntilClosed(socket, beginning)).isLessThan(MAX_BYTES);
      }
      assertThat(broken.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isTrue();
    }
  }

  private static int sentUntilClosed(Socket socket, String beginning) {
    int sent = 0;
    byte[] part = "a".repeat(16 * 1024).getBytes(StandardCharsets.US_ASCII);
    try {
      OutputStream out = socket.getOutputStream();
      out.write(beginning.getBytes(StandardCharsets.US_ASCII));
      while (sent < MAX_BYTES) {
        out.write(part);
        sent += part.length;
      }
      return sent;
    } catch (IOException e) {
      return sent;
    }
  }
}
