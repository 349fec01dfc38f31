package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.io.Closer;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.Polling;
import org.wigeonstage.gateway.ScriptedServer.Ending;

/** Tests that the log of a request names who closed its connection to the server, and why. */
class ServerConnectionEndIT {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  /** A response whose rest never arrives. */
  private static final String INCOMPLETE =
      StreamText.chunkedHead("r") + StreamText.chunkedEvents(1, 3);

  private final Closer closer = Closer.create();
  private final DecisionLogCapture decisions = closer.register(new DecisionLogCapture());
  private GatewayFixture fixture;
  private ScriptedServer server;

  @AfterEach
  void stop() throws IOException {
    closer.close();
  }

  private void start(String response, Ending ending) throws Exception {
    server = closer.register(ScriptedServer.afterWarmUp((id, position) -> response, ending));
    fixture = closer.register(GatewayFixture.with(server));
  }

  private void assertEnd(String event, String closedBy, String closeReason)
      throws InterruptedException {
    Polling.await(() -> !decisions.linesOf(event).isEmpty(), TIMEOUT);
    assertThat(decisions.linesOf(event).get(0))
        .contains("\"request\":\"r\"")
        .contains("\"closedBy\":\"" + closedBy + "\"")
        .contains("\"closeReason\":\"" + closeReason + "\"");
  }

  @Test
  void connectionClosedByTheServerIsLogged() throws Exception {
    start(INCOMPLETE, Ending.CLOSED);
    fixture.request("stream", "r");
    assertEnd("connection-lost", "server", "server_closed");
    assertEnd("attempt-ended", "server", "server_closed");
  }

  @Test
  void resetConnectionIsLogged() throws Exception {
    start(INCOMPLETE, Ending.RESET);
    fixture.request("stream", "r");
    assertEnd("connection-lost", "server", "network_failed");
  }

  @Test
  void malformedResponseIsLogged() throws Exception {
    start("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nno length\r\n", Ending.KEPT);
    fixture.request("plain", "r");
    assertEnd("connection-lost", "gateway", "malformed");
    assertEnd("attempt-ended", "gateway", "malformed");
  }

  @Test
  void invalidResponseIsLogged() throws Exception {
    start(INCOMPLETE + StreamText.chunkedEvents(1, 1), Ending.KEPT);
    fixture.request("stream", "r");
    assertEnd("attempt-ended", "gateway", "invalid_response");
  }

  @Test
  void attemptThatExceedsTheDeadlineIsLogged() throws Exception {
    start(INCOMPLETE, Ending.KEPT);
    fixture.request("plain", "r", Duration.ofMillis(300));
    assertEnd("attempt-ended", "gateway", "deadline");
  }

  @Test
  void attemptWhoseCallerHasDisconnectedIsLogged() throws Exception {
    start(INCOMPLETE, Ending.KEPT);
    Socket socket = fixture.send("plain", "r", "Deadline-Ms: 15000\r\n");
    Polling.await(() -> server.receivedCount("r") > 0, TIMEOUT);
    socket.close();
    assertEnd("caller-gone", "gateway", "caller_gone");
  }

  @Test
  void attemptThatIsOpenAtTheEndOfTheProcessIsLogged() throws Exception {
    start(INCOMPLETE, Ending.KEPT);
    closer.register(fixture.send("plain", "r", "Deadline-Ms: 15000\r\n"));
    Polling.await(() -> server.receivedCount("r") > 0, TIMEOUT);
    fixture.gateway.core().withLock(fixture.gateway.core()::endOpenRequests);
    assertEnd("left-open", "gateway", "shutdown");
  }
}
