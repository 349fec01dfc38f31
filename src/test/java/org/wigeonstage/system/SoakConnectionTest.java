package org.wigeonstage.system;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.wigeonstage.http.Endpoint;

/** Tests which responses a caller of the soak test accepts as complete. */
class SoakConnectionTest {

  private static final int TIMEOUT_MILLIS = 30_000;
  private static final String SIGNED_HEADERS = "Attempt-Id: a\r\nResponse-Signature: s\r\n";
  private static final String CHUNKED_HEADERS = "Transfer-Encoding: chunked\r\n\r\n";

  @Test
  void acceptsCompleteBody() throws IOException {
    assertThat(resultOf(createResponse(SIGNED_HEADERS, "a;a;")))
        .isEqualTo(SoakCall.Result.COMPLETE);
  }

  @Test
  void rejectsBodyOfAnotherRequest() throws IOException {
    assertThat(resultOf(createResponse(SIGNED_HEADERS, "b;b;"))).isEqualTo(SoakCall.Result.INVALID);
  }

  @Test
  void rejectsAttemptIdOfAnotherRequest() throws IOException {
    String otherHeaders = "Attempt-Id: b\r\nResponse-Signature: s\r\n";
    assertThat(resultOf(createResponse(otherHeaders, "a;a;"))).isEqualTo(SoakCall.Result.INVALID);
  }

  @Test
  void rejectsSuccessWithoutSignature() throws IOException {
    assertThat(resultOf(createResponse("Attempt-Id: a\r\n", "a;a;")))
        .isEqualTo(SoakCall.Result.INVALID);
  }

  @Test
  void reportsTruncatedResponseAsConnectionLost() throws IOException {
    String response = createResponse(SIGNED_HEADERS, "a;a;");
    assertThat(resultOf(response.substring(0, response.length() - 1)))
        .isEqualTo(SoakCall.Result.CONNECTION_LOST);
    assertThat(resultOf(response.substring(0, 20))).isEqualTo(SoakCall.Result.CONNECTION_LOST);
    assertThat(resultOf("")).isEqualTo(SoakCall.Result.CONNECTION_LOST);
  }

  @Test
  void acceptsCompleteStream() throws IOException {
    assertThat(resultOfStream(chunk(1) + chunk(2) + "0\r\n\r\n"))
        .isEqualTo(SoakCall.Result.COMPLETE);
  }

  @Test
  void rejectsStreamThatEndsBeforeItsLastEvent() throws IOException {
    assertThat(resultOfStream(chunk(1) + "0\r\n\r\n")).isEqualTo(SoakCall.Result.INVALID);
  }

  @Test
  void rejectsDuplicateAndMissingEvents() throws IOException {
    assertThat(resultOfStream(chunk(1) + chunk(1) + chunk(2) + "0\r\n\r\n"))
        .isEqualTo(SoakCall.Result.INVALID);
    assertThat(resultOfStream(chunk(2))).isEqualTo(SoakCall.Result.INVALID);
  }

  @Test
  void reportsTruncatedStreamAsConnectionLost() throws IOException {
    assertThat(resultOfStream(chunk(1))).isEqualTo(SoakCall.Result.CONNECTION_LOST);
  }

  private static String chunk(int event) {
    String text = SoakServer.event("a", event);
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static String createResponse(String headers, String body) {
    return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private static SoakCall.Result resultOf(String response) throws IOException {
    return exchange(response, SoakRequest.plain(0, 4));
  }

  private static SoakCall.Result resultOfStream(String chunks) throws IOException {
    return exchange(
        "HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS + CHUNKED_HEADERS + chunks,
        SoakRequest.stream(2, 0));
  }

  /** Sends the response, closes the connection and returns the result for the caller. */
  private static SoakCall.Result exchange(String response, SoakRequest request) throws IOException {
    SoakCall call = new SoakCall("a", "gateway-1", "first", 1, request);
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        SoakConnection connection =
            new SoakConnection(
                new Endpoint("127.0.0.1", server.getLocalPort()),
                false,
                TIMEOUT_MILLIS,
                new SoakClock());
        Socket accepted = server.accept()) {
      accepted.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
      accepted.shutdownOutput();
      connection.exchange(call);
    }
    return call.result;
  }
}
