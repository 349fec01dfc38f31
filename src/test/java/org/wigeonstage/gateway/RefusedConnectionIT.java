package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonstage.gateway.GatewayFixture.statusOf;

import com.google.common.io.Closer;
import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.Polling;

/** Guards against requests that occupy a gateway while all servers refuse connections. */
class RefusedConnectionIT {

  private static final Duration DEADLINE = Duration.ofMillis(1400);
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  /** One attempt in each pause of at least 50 ms. */
  private static final long MAX_ATTEMPTS = DEADLINE.toMillis() / 50;

  private final Closer closer = Closer.create();
  private final DecisionLogCapture decisions = closer.register(new DecisionLogCapture());

  @AfterEach
  void stop() throws IOException {
    closer.close();
  }

  private long linesOf(String event, String requestId) {
    return decisions.linesOf(event).stream()
        .filter(line -> line.contains("\"" + requestId + "\""))
        .count();
  }

  @Test
  void requestIsNotSentAgainAndAgainToAServerThatRefusesConnections() throws Exception {
    GatewayFixture fixture = closer.register(new GatewayFixture(0));
    ScriptedServer server = new ScriptedServer((id, position) -> ScriptedServer.success(id));
    fixture.store.write("servers", "refusing", server.registration());
    fixture.awaitStatus("status", 200);
    server.close();
    String response = fixture.request("status", "refused", DEADLINE);
    assertThat(statusOf(response)).isIn(502, 503, 504);
    assertThat(Polling.await(() -> linesOf("rejected", "refused") == 1, TIMEOUT)).isTrue();
    assertThat(linesOf("placed", "refused")).isBetween(1L, MAX_ATTEMPTS);
  }
}
