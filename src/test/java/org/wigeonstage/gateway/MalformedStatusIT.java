package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonstage.gateway.GatewayFixture.statusOf;

import com.google.common.io.Closer;
import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonstage.common.Polling;
import org.wigeonstage.gateway.ScriptedServer.Ending;

/** Guards against status codes of servers that no final response may have, passed to callers. */
class MalformedStatusIT {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final Closer closer = Closer.create();
  private final DecisionLogCapture decisions = closer.register(new DecisionLogCapture());
  private GatewayFixture fixture;
  private ScriptedServer server;

  @AfterEach
  void stop() throws IOException {
    closer.close();
  }

  private void start(ScriptedServer.Script script) throws Exception {
    server = closer.register(ScriptedServer.afterWarmUp(script, Ending.KEPT));
    fixture = closer.register(GatewayFixture.with(server));
  }

  private static String response(String status, String id) {
    return ScriptedServer.response(status, "Attempt-Id: " + id + "\r\nResponse-Signature: s\r\n");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "000 OK",
        "001 OK",
        "099 OK",
        "0200 OK",
        "2000 OK",
        "199 OK",
        "600 OK",
        "999 OK",
        "101 Switching Protocols",
        "102 Processing",
        "103 Early Hints",
        "000",
        "20"
      })
  void statusThatNoResponseMayHaveIsAFailedAttempt(String status) throws Exception {
    start((id, position) -> response(status, id));
    assertThat(statusOf(fixture.request("plain", "r"))).isEqualTo(502);
    assertThat(server.receivedCount("r")).isEqualTo(1);
  }

  @Test
  void reasonIsLogged() throws Exception {
    start((id, position) -> response("000 OK", id));
    fixture.request("plain", "r");
    Polling.await(() -> !decisions.linesOf("attempt-ended").isEmpty(), TIMEOUT);
    assertThat(decisions.linesOf("attempt-ended").get(0))
        .contains("\"end\":\"INVALID_STATUS\"")
        .contains("\"closeReason\":\"invalid_status\"");
  }

  @ParameterizedTest
  @ValueSource(strings = {"000 OK", "999 OK", "101 Switching Protocols"})
  void idempotentRequestIsRetried(String status) throws Exception {
    start((id, position) -> response(attempts++ == 0 ? status : "200 OK", id));
    assertThat(statusOf(fixture.request("status", "r"))).isEqualTo(200);
    assertThat(server.receivedCount("r")).isEqualTo(2);
  }

  private int attempts;

  @ParameterizedTest
  @ValueSource(strings = {"200 OK", "299 Any", "200", "200 ", "302 Found", "404 0", "599 Any"})
  void finalResponsesArePassedOn(String status) throws Exception {
    start((id, position) -> response(status, id));
    assertThat(statusOf(fixture.request("plain", "r")))
        .isEqualTo(Integer.parseInt(status.substring(0, 3)));
  }
}
