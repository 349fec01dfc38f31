package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonstage.gateway.GatewayFixture.statusOf;
import static org.wigeonstage.gateway.ScriptedServer.anonymousRefusal;
import static org.wigeonstage.gateway.ScriptedServer.isWarmUp;
import static org.wigeonstage.gateway.ScriptedServer.refusal;
import static org.wigeonstage.gateway.ScriptedServer.response;
import static org.wigeonstage.gateway.ScriptedServer.success;

import com.google.common.io.Closer;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonstage.platform.standin.Rehearsal;

/**
 * Tests servers that send an earlier response again on a connection that was kept. A caller must
 * not conclude from it that a request did not run which the server has run.
 */
class ReplayedResponseIT {

  private static final String MISDIRECTED = "421 Misdirected Request";

  private final Closer closer = Closer.create();
  private GatewayFixture fixture;
  private ScriptedServer server;

  @AfterEach
  void stop() throws IOException {
    closer.close();
  }

  /** Starts a gateway with one server, and sends a request that opens a connection to it. */
  private void start(ScriptedServer.Script script) throws Exception {
    server = closer.register(new ScriptedServer(script));
    fixture = closer.register(new GatewayFixture(0, Rehearsal.configuration()));
    fixture.store.write("servers", "scripted", server.registration());
    fixture.awaitStatus("plain", 200);
  }

  /** The server runs the request, but the bytes before its response are an earlier refusal. */
  private void assertRefusalBeforeResponseIsNotBelieved(String replayed) throws Exception {
    start((id, position) -> isWarmUp(id) ? success(id) : replayed + success(id));
    assertThat(statusOf(fixture.request("plain", "r"))).isEqualTo(502);
    assertThat(server.receivedCount("r")).isEqualTo(1);
  }

  @Test
  void refusalOfAnotherRequestIsNotBelieved() throws Exception {
    assertRefusalBeforeResponseIsNotBelieved(refusal("earlier"));
  }

  @Test
  void refusalWithoutIdIsNotBelievedOnAConnectionThatWasKept() throws Exception {
    assertRefusalBeforeResponseIsNotBelieved(anonymousRefusal());
  }

  @Test
  void misdirectionWithoutIdIsNotBelievedOnAConnectionThatWasKept() throws Exception {
    assertRefusalBeforeResponseIsNotBelieved(response(MISDIRECTED, "Instance-Id: x\r\n"));
  }

  @Test
  void misdirectionOfAnotherRequestIsNotBelieved() throws Exception {
    assertRefusalBeforeResponseIsNotBelieved(
        response(MISDIRECTED, "Attempt-Id: earlier\r\nInstance-Id: x\r\n"));
  }

  @Test
  void successWithoutIdIsNotPassedOnFromAConnectionThatWasKept() throws Exception {
    start(
        (id, position) ->
            isWarmUp(id)
                ? success(id)
                : response("200 OK", "Response-Signature: s\r\n") + success(id));
    assertThat(statusOf(fixture.request("plain", "r"))).isEqualTo(502);
  }

  /** The server refuses a request, then receives it again, runs it, and repeats the refusal. */
  @ParameterizedTest
  @ValueSource(strings = {"plain", "status"})
  void repeatedRefusalIsNotBelievedForARequestThatIsSentAgain(String route) throws Exception {
    start(
        (id, position) -> {
          if (isWarmUp(id)) {
            return success(id);
          }
          if (server.receivedCount(id) == 1) {
            return refusal(id);
          }
          return position == 0 ? success(id) : refusal(id) + success(id);
        });
    int status = statusOf(fixture.request(route, "r"));
    if (server.receivedCount("r") > 1) {
      assertThat(status).isEqualTo(200);
    } else {
      assertThat(status).isEqualTo(503);
    }
  }

  /** The repeated refusal arrives together with the response before it. */
  @Test
  void refusalBehindAResponseIsNotBelievedByTheNextRequest() throws Exception {
    start(
        (id, position) ->
            id.equals("first") ? success(id) + anonymousRefusal() + refusal("x") : success(id));
    assertThat(statusOf(fixture.request("plain", "first"))).isEqualTo(200);
    for (int i = 0; i < 20; i++) {
      String id = "next-" + i;
      int status = statusOf(fixture.request("plain", id));
      assertThat(status).isNotEqualTo(503);
      assertThat(server.receivedCount(id)).isEqualTo(1);
    }
  }

  @Test
  void refusalOnAnIdleConnectionClosesIt() throws Exception {
    start((id, position) -> success(id));
    int before = server.connectionCount();
    server.writeUnasked(anonymousRefusal());
    for (int i = 0; i < 20; i++) {
      assertThat(statusOf(fixture.request("plain", "next-" + i))).isNotEqualTo(503);
    }
    assertThat(server.connectionCount()).isGreaterThan(before);
  }

  /** A status by which callers conclude that the request did not run, from a server that ran it. */
  @ParameterizedTest
  @ValueSource(strings = {"503 Service Unavailable", "429 Too Many Requests", "408 Timeout"})
  void statusThatImpliesNotRunIsPassedOnOnlyIfTheServerDeclaresIt(String status) throws Exception {
    start(
        (id, position) ->
            isWarmUp(id)
                ? success(id)
                : response(status, "Attempt-Id: " + id + "\r\nResponse-Signature: s\r\n"));
    assertThat(statusOf(fixture.request("plain", "r"))).isEqualTo(502);
    assertThat(server.receivedCount("r")).isEqualTo(1);
  }

  @Test
  void successThatDeclaresNotRunIsNotPassedOn() throws Exception {
    start(
        (id, position) ->
            isWarmUp(id)
                ? success(id)
                : response(
                    "200 OK",
                    "Attempt-Id: " + id + "\r\nResponse-Signature: s\r\nNot-Executed: 1\r\n"));
    assertThat(statusOf(fixture.request("plain", "r"))).isEqualTo(502);
  }

  @Test
  void refusalOnANewConnectionIsBelieved() throws Exception {
    start((id, position) -> isWarmUp(id) ? success(id) : refusal(id));
    assertThat(statusOf(fixture.request("plain", "r"))).isEqualTo(503);
  }
}
