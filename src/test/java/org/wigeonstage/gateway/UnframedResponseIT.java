package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonstage.gateway.GatewayFixture.statusOf;

import com.google.common.io.Closer;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonstage.gateway.ScriptedServer.Ending;

/** Tests responses without a length and without chunks, which end with their connection. */
class UnframedResponseIT {

  private static final String FIRST_EVENT = "id: 1\ndata: one\n\n";
  private static final String SECOND_EVENT = "id: 2\ndata: two\n\n";
  private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

  private final Closer closer = Closer.create();
  private GatewayFixture fixture;

  @AfterEach
  void stop() throws IOException {
    closer.close();
  }

  private static String head(String id, String fields) {
    return "HTTP/1.1 200 OK\r\nAttempt-Id: "
        + id
        + "\r\nResponse-Signature: s\r\n"
        + fields
        + "\r\n";
  }

  private static String streamHead(String id) {
    return head(id, "Content-Type: text/event-stream\r\n");
  }

  private void start(ScriptedServer.Script script, Ending ending) throws Exception {
    ScriptedServer server = closer.register(ScriptedServer.afterWarmUp(script, ending));
    fixture = closer.register(GatewayFixture.with(server));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "Connection: close\r\n"})
  void plainResponseIsCompleteAtTheEndOfItsConnection(String fields) throws Exception {
    start((id, position) -> head(id, fields) + "the body", Ending.CLOSED);
    String response = fixture.request("plain", "r");
    assertThat(statusOf(response)).isEqualTo(200);
    assertThat(response).contains("Content-Length: 8").endsWith("the body");
  }

  @Test
  void plainResponseWhoseConnectionIsResetIsNotPassedOn() throws Exception {
    start((id, position) -> head(id, "") + "the b", Ending.RESET);
    assertThat(statusOf(fixture.request("plain", "r"))).isEqualTo(502);
  }

  @Test
  void responseThatIsTooShortForItsLengthIsNotPassedOn() throws Exception {
    start((id, position) -> head(id, "Content-Length: 8\r\n") + "the b", Ending.CLOSED);
    assertThat(statusOf(fixture.request("plain", "r"))).isEqualTo(502);
  }

  @Test
  void streamIsCompleteIfItsConnectionEndsBehindAnEvent() throws Exception {
    start((id, position) -> streamHead(id) + FIRST_EVENT + SECOND_EVENT, Ending.CLOSED);
    String response = fixture.request("stream", "r");
    assertThat(statusOf(response)).isEqualTo(200);
    assertThat(response).contains("one", "two").endsWith(LAST_CHUNK);
  }

  @ParameterizedTest
  @ValueSource(strings = {"id: 2\ndata: tw", "id: 2\ndata: two\n", "i"})
  void streamThatEndsInsideAnEventIsResumed(String part) throws Exception {
    start(
        (id, position) ->
            attempts++ == 0 ? streamHead(id) + FIRST_EVENT + part : streamHead(id) + SECOND_EVENT,
        Ending.CLOSED);
    String response = fixture.request("stream", "r");
    assertThat(response).contains("one", "two").endsWith(LAST_CHUNK);
    assertThat(response.split("two", -1)).hasSize(2);
  }

  private int attempts;

  @Test
  void chunkedStreamThatEndsInsideAnEventIsNotComplete() throws Exception {
    start(
        (id, position) ->
            head(id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
                + "12\r\n"
                + FIRST_EVENT
                + "\r\n4\r\nid: \r\n0\r\n\r\n",
        Ending.KEPT);
    assertThat(fixture.request("stream", "r")).contains("one").doesNotEndWith(LAST_CHUNK);
  }

  @Test
  void streamWhoseConnectionIsResetIsNotComplete() throws Exception {
    start((id, position) -> streamHead(id) + FIRST_EVENT, Ending.RESET);
    assertThat(fixture.request("stream", "r")).contains("one").doesNotEndWith(LAST_CHUNK);
  }

  @Test
  void streamThatEndsBeforeItsFirstEventIsNotComplete() throws Exception {
    start((id, position) -> streamHead(id), Ending.CLOSED);
    assertThat(statusOf(fixture.request("stream", "r"))).isEqualTo(502);
  }
}
