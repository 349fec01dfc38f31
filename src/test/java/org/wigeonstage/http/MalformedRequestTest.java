package org.wigeonstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that an {@link HttpServer} refuses requests whose body violates the syntax of HTTP. */
class MalformedRequestTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private static String send(String chunks) throws IOException {
    ServerOptions options = new ServerOptions(8192, 65_536, TIMEOUT, 1);
    try (HttpServer server =
            HttpServer.start(
                "test",
                new Endpoint("127.0.0.1", 0),
                options,
                exchange -> exchange.respond(200, "text/plain", exchange.text()));
        Socket socket = new Socket("127.0.0.1", server.endpoint().port())) {
      socket.setSoTimeout((int) TIMEOUT.toMillis());
      String head =
          "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
      socket.getOutputStream().write((head + chunks).getBytes(StandardCharsets.ISO_8859_1));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "x\r\nbody\r\n0\r\n\r\n",
        "-4\r\nbody\r\n0\r\n\r\n",
        "4\r\nbody\r\n0\r\nX Trailer: a\r\n\r\n"
      })
  void malformedChunksAreRefused(String chunks) throws IOException {
    assertThat(send(chunks)).startsWith("HTTP/1.1 400 ");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "\r\n\r\n",
        "4\r\nbodyx\r\n0\r\n\r\n",
        "4\r\nbodyxx0\r\n\r\n",
        "4\r\nbody\r\n0\r\nnonsense\r\n\r\n"
      })
  @Tag("known-red")
  void chunksThatTheCodecReadsPastAreRefused(String chunks) throws IOException {
    malformedChunksAreRefused(chunks);
  }
}
