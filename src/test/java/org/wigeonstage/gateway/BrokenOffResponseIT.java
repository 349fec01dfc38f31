package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonstage.gateway.GatewayFixture.statusOf;

import com.google.common.io.Closer;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonstage.gateway.ScriptedServer.Ending;

/**
 * Tests responses that a server breaks off. A caller must not find what the next server responds in
 * the middle of its stream, and must not take a broken-off response for a complete one.
 */
class BrokenOffResponseIT {

  private static final String FIRST_EVENT = "id: 1\ndata: one\n\n";
  private static final String LAST_CHUNK = "\r\n0\r\n\r\n";
  private static final String ERROR_TEXT = "backend-error";

  private final Closer closer = Closer.create();
  private GatewayFixture fixture;
  private ScriptedServer server;

  @AfterEach
  void stop() throws IOException {
    closer.close();
  }

  private void start(ScriptedServer.Script script, Ending ending) throws Exception {
    server = closer.register(ScriptedServer.afterWarmUp(script, ending));
    fixture = closer.register(GatewayFixture.with(server));
  }

  private static String streamHead(String framing) {
    return "HTTP/1.1 200 OK\r\nAttempt-Id: r\r\nResponse-Signature: s\r\n"
        + "Content-Type: text/event-stream\r\n"
        + framing
        + "\r\n";
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static String error(String status, String fields) {
    return "HTTP/1.1 %s\r\nAttempt-Id: r\r\n%sContent-Length: %s\r\n\r\n%s"
        .formatted(status, fields, ERROR_TEXT.length(), ERROR_TEXT);
  }

  static String[] secondResponses() {
    return new String[] {
      error("500 Internal Server Error", "Response-Signature: s\r\n"),
      error("404 Not Found", "Response-Signature: s\r\n"),
      error("400 Bad Request", ""),
      error("503 Service Unavailable", "Not-Executed: 1\r\n"),
      error("503 Service Unavailable", ""),
      error("429 Too Many Requests", "Not-Executed: 1\r\n"),
      error("421 Misdirected Request", ""),
      error("302 Found", "Location: /x\r\n"),
      error("200 OK", "Response-Signature: s\r\n"),
      error("200 OK", ""),
      error("200 OK", "Content-Type: text/event-stream\r\n"),
      error("500 Error", "Response-Signature: s\r\nContent-Type: text/event-stream\r\n"),
      error("206 Partial", "Response-Signature: s\r\nContent-Type: text/event-stream\r\n"),
      "HTTP/1.1 500 Error\r\nAttempt-Id: r\r\n\r\n" + ERROR_TEXT,
      "HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(ERROR_TEXT) + "0\r\n\r\n",
      "HTTP/1.1 500 Err",
      ERROR_TEXT + "\r\n\r\n",
      streamHead("Transfer-Encoding: chunked\r\n") + "4\r\nid: ",
      streamHead("") + "id: 2\ndata: " + ERROR_TEXT,
      ""
    };
  }

  private void assertNothingOfTheSecondResponseIsPassedOn(String first, String second)
      throws Exception {
    start((id, position) -> server.receivedCount(id) == 1 ? first : second, Ending.RESET);
    String response = fixture.request("stream", "r");
    assertThat(statusOf(response)).isEqualTo(200);
    assertThat(response)
        .contains("one")
        .doesNotContain(ERROR_TEXT, "500", "404", "503")
        .doesNotEndWith(LAST_CHUNK);
    assertThat(response.split("HTTP/1.1", -1)).hasSize(2);
  }

  @ParameterizedTest
  @MethodSource("secondResponses")
  void errorAfterABrokenOffChunkedStreamIsNotPartOfTheStream(String second) throws Exception {
    String head = streamHead("Transfer-Encoding: chunked\r\n");
    assertNothingOfTheSecondResponseIsPassedOn(head + chunk(FIRST_EVENT), second);
  }

  @ParameterizedTest
  @MethodSource("secondResponses")
  void errorAfterABrokenOffUnframedStreamIsNotPartOfTheStream(String second) throws Exception {
    assertNothingOfTheSecondResponseIsPassedOn(streamHead("") + FIRST_EVENT + "id: 2", second);
  }

  /** The server closes its connection at any place of the head of its response. */
  @ParameterizedTest
  @ValueSource(strings = {"Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", ""})
  void responseThatEndsInItsHeadIsNotPassedOn(String framing) throws Exception {
    String head =
        "HTTP/1.1 200 OK\r\nAttempt-Id: r\r\nResponse-Signature: s\r\n" + framing + "\r\n";
    start((id, position) -> head.substring(0, Integer.parseInt(id.substring(4))), Ending.CLOSED);
    for (int length = 0; length < head.length(); length++) {
      String response = fixture.request("plain", "cut-" + length);
      assertThat(statusOf(response)).as("after %s bytes", length).isEqualTo(502);
    }
  }

  @Test
  void responseThatEndsInItsBodyIsNotPassedOn() throws Exception {
    start(
        (id, position) ->
            "HTTP/1.1 200 OK\r\nAttempt-Id: r\r\nResponse-Signature: s\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
        Ending.CLOSED);
    assertThat(statusOf(fixture.request("plain", "r"))).isEqualTo(502);
  }
}
