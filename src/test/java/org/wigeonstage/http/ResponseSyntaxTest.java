package org.wigeonstage.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.wigeonstage.http.MalformedResponses.printable;

import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.Buffers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a {@link ResponseSyntax} judges responses independently of how they arrive. */
class ResponseSyntaxTest {

  private static Buffer bufferOf(String octets) {
    return Buffers.wrap(null, octets.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static boolean isAccepted(String... parts) {
    ResponseSyntax syntax = new ResponseSyntax();
    try {
      for (String part : parts) {
        syntax.check(bufferOf(part));
      }
      return true;
    } catch (MalformedMessageException e) {
      return false;
    }
  }

  private static void assertAcceptedHoweverSplit(String response, boolean isAccepted) {
    for (int split = 0; split <= response.length(); split++) {
      assertThat(isAccepted(response.substring(0, split), response.substring(split)))
          .as("accepted %s, split at %s", printable(response), split)
          .isEqualTo(isAccepted);
    }
    assertThat(isAccepted(response.split("")))
        .as("accepted %s byte by byte", printable(response))
        .isEqualTo(isAccepted);
  }

  @Test
  void malformedResponseIsRejectedHoweverItIsSplit() {
    MalformedResponses.all("Date: a\r\n")
        .forEach(response -> assertAcceptedHoweverSplit(response, false));
  }

  @Test
  void soundResponseIsAcceptedHoweverItIsSplit() {
    MalformedResponses.sound("Date: a\r\n")
        .forEach(response -> assertAcceptedHoweverSplit(response, true));
  }

  /** The server may send no more, and keep the connection. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "n",
        "HTTP/2",
        "HTTP/1.1 2x",
        "HTTP/1.1 200 OK\r\n ",
        "HTTP/1.1 200 OK\r\n:",
        "HTTP/1.1 200 OK\r\n{",
        "HTTP/1.1 200 OK\r\nX-Fi\0",
        "HTTP/1.1 200 OK\r\nX-Field: \0",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndonex",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n ",
      })
  void unfinishedLineIsRejectedIfNoneCanBeginWithIt(String start) {
    assertThat(isAccepted(start.substring(0, start.length() - 1))).isTrue();
    assertThat(isAccepted(start)).isFalse();
  }

  @Test
  void exceptionNamesTheViolation() {
    ResponseSyntax syntax = new ResponseSyntax();
    assertThatThrownBy(() -> syntax.check(bufferOf("HTTP/1.1 200 OK\r\nnonsense\r\n")))
        .isInstanceOf(MalformedMessageException.class)
        .hasMessage("a header line has no colon");
  }

  @Test
  void bodyThatIsNotSentInChunksIsNotChecked() {
    assertThat(isAccepted("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "\0\r\n", "a b\r\n"))
        .isTrue();
  }
}
