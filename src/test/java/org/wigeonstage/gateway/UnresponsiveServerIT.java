package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonstage.gateway.GatewayFixture.statusOf;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wigeonstage.platform.standin.Rehearsal;
import org.wigeonstage.platform.standin.RunnerStandin.Behaviour;

/**
 * Guards against the loss of responses from a server that sends nothing for longer than the
 * response timeout and then responds after all.
 */
class UnresponsiveServerIT {

  private static final Duration DEADLINE = Duration.ofSeconds(15);

  private GatewayFixture fixture;

  @AfterEach
  void stop() throws IOException {
    fixture.close();
  }

  private void start(int serverCount, int fixedRetries) throws InterruptedException {
    ObjectNode configuration = Rehearsal.configuration();
    for (JsonNode route : configuration.path("routes")) {
      ((ObjectNode) route).put("timeout_ms", 2 * DEADLINE.toMillis());
    }
    ObjectNode settings =
        JsonNodeFactory.instance.objectNode().put("retryRatio", 0).put("retryFixed", fixedRetries);
    fixture = new GatewayFixture(serverCount, configuration, settings);
    fixture.awaitStatus("status", 200);
    fixture.servers.forEach(server -> server.setBehaviour(Behaviour.STALLS));
  }

  private String request(String route) throws IOException {
    return fixture.request(route, "unresponsive-" + route, DEADLINE);
  }

  private static void assertComplete(String stream) {
    for (int event = 1; event <= 8; event++) {
      assertThat(stream).containsOnlyOnce("id: " + event + "\n");
    }
    assertThat(stream).endsWith("0\r\n\r\n");
  }

  @Test
  void streamContinuesIfTheRetryBudgetIsUsedUp() throws Exception {
    start(2, 0);
    assertComplete(request("stream"));
    assertThat(fixture.runsOf("unresponsive-stream")).hasSize(1);
  }

  @Test
  void plainResponseIsAwaitedIfTheRetryBudgetIsUsedUp() throws Exception {
    start(2, 0);
    assertThat(statusOf(request("status"))).isEqualTo(200);
    assertThat(fixture.runsOf("unresponsive-status")).hasSize(1);
  }

  @Test
  void streamContinuesIfThereIsNoOtherServer() throws Exception {
    start(1, 100);
    assertComplete(request("stream"));
    assertThat(fixture.runsOf("unresponsive-stream")).hasSize(1);
  }

  @Test
  void streamResumesAtAnotherServerIfTheRetryBudgetAllowsIt() throws Exception {
    start(2, 100);
    assertComplete(request("stream"));
    assertThat(fixture.runsOf("unresponsive-stream")).hasSize(2);
  }
}
