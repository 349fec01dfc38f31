package org.wigeonstage.system;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.wigeonstage.http.Endpoint;

/** What a caller of the soak takes for a whole answer, and what not. */
class SoakConnectionTest {

  private static final int TIMEOUT_MILLIS = 30_000;
  private static final String SIGNED = "Attempt-Id: a\r\nResponse-Signature: s\r\n";
  private static final String EVENTS = "Transfer-Encoding: chunked\r\n\r\n";

  @Test
  void takesAWholeBody() throws IOException {
    assertThat(endOf(answer(SIGNED, "a;a;"))).isEqualTo(SoakCall.End.WHOLE);
  }

  @Test
  void noticesABodyOfAnotherRequest() throws IOException {
    assertThat(endOf(answer(SIGNED, "b;b;"))).isEqualTo(SoakCall.End.WRONG);
  }

  @Test
  void noticesAnAnswerToAnotherRequest() throws IOException {
    String other = "Attempt-Id: b\r\nResponse-Signature: s\r\n";
    assertThat(endOf(answer(other, "a;a;"))).isEqualTo(SoakCall.End.WRONG);
  }

  @Test
  void noticesASuccessThatNoServerSigned() throws IOException {
    assertThat(endOf(answer("Attempt-Id: a\r\n", "a;a;"))).isEqualTo(SoakCall.End.WRONG);
  }

  @Test
  void noticesAnAnswerThatIsCut() throws IOException {
    String answer = answer(SIGNED, "a;a;");
    assertThat(endOf(answer.substring(0, answer.length() - 1))).isEqualTo(SoakCall.End.BROKEN);
    assertThat(endOf(answer.substring(0, 20))).isEqualTo(SoakCall.End.BROKEN);
    assertThat(endOf("")).isEqualTo(SoakCall.End.BROKEN);
  }

  @Test
  void takesAWholeStream() throws IOException {
    assertThat(endOfStream(chunk(1) + chunk(2) + "0\r\n\r\n")).isEqualTo(SoakCall.End.WHOLE);
  }

  @Test
  void noticesAStreamThatLooksCompleteTooEarly() throws IOException {
    assertThat(endOfStream(chunk(1) + "0\r\n\r\n")).isEqualTo(SoakCall.End.WRONG);
  }

  @Test
  void noticesEventsThatComeTwiceOrAreMissing() throws IOException {
    assertThat(endOfStream(chunk(1) + chunk(1) + chunk(2) + "0\r\n\r\n"))
        .isEqualTo(SoakCall.End.WRONG);
    assertThat(endOfStream(chunk(2))).isEqualTo(SoakCall.End.WRONG);
  }

  @Test
  void noticesAStreamThatBreaksOff() throws IOException {
    assertThat(endOfStream(chunk(1))).isEqualTo(SoakCall.End.BROKEN);
  }

  private static String chunk(int event) {
    String text = SoakServer.event("a", event);
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static String answer(String fields, String body) {
    return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private static SoakCall.End endOf(String answer) throws IOException {
    return exchange(answer, SoakWork.plain(0, 4));
  }

  private static SoakCall.End endOfStream(String chunks) throws IOException {
    return exchange("HTTP/1.1 200 OK\r\n" + SIGNED + EVENTS + chunks, SoakWork.stream(2, 0));
  }

  /** Gives the answer to a request, ends the connection, and returns what the caller made of it. */
  private static SoakCall.End exchange(String answer, SoakWork work) throws IOException {
    SoakCall call = new SoakCall("a", "gateway-1", "first", 1, work);
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        SoakConnection connection =
            new SoakConnection(
                new Endpoint("127.0.0.1", server.getLocalPort()),
                false,
                TIMEOUT_MILLIS,
                new SoakClock());
        Socket accepted = server.accept()) {
      accepted.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
      accepted.shutdownOutput();
      connection.exchange(call);
    }
    return call.end;
  }
}
