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

/** LOST: a server falls silent for longer than silence is waited for, and answers then. */
class UnresponsiveServerIT {

  private static final Duration DEADLINE = Duration.ofSeconds(15);

  private GatewayFixture fixture;

  @AfterEach
  void stop() throws IOException {
    fixture.close();
  }

  private void start(int runners, int retries) throws InterruptedException {
    ObjectNode configuration = Rehearsal.configuration();
    for (JsonNode route : configuration.path("routes")) {
      ((ObjectNode) route).put("timeout_ms", 2 * DEADLINE.toMillis());
    }
    ObjectNode settings =
        JsonNodeFactory.instance.objectNode().put("retryRatio", 0).put("retryFixed", retries);
    fixture = new GatewayFixture(runners, configuration, settings);
    fixture.awaitStatus("status", 200);
    fixture.runners.forEach(runner -> runner.behave(Behaviour.PAUSES));
  }

  private String call(String route) throws IOException {
    return fixture.call(route, "silent-" + route, DEADLINE);
  }

  private static void assertWhole(String stream) {
    for (int event = 1; event <= 8; event++) {
      assertThat(stream).containsOnlyOnce("id: " + event + "\n");
    }
    assertThat(stream).endsWith("0\r\n\r\n");
  }

  @Test
  void goesOnListeningToAStreamThatCannotBeRepeatedForWantOfBudget() throws Exception {
    start(2, 0);
    assertWhole(call("stream"));
    assertThat(fixture.runsOf("silent-stream")).hasSize(1);
  }

  @Test
  void goesOnListeningForAnAnswerThatCannotBeRepeatedForWantOfBudget() throws Exception {
    start(2, 0);
    assertThat(statusOf(call("status"))).isEqualTo(200);
    assertThat(fixture.runsOf("silent-status")).hasSize(1);
  }

  @Test
  void goesOnListeningWhereNoOtherServerIsThere() throws Exception {
    start(1, 100);
    assertWhole(call("stream"));
    assertThat(fixture.runsOf("silent-stream")).hasSize(1);
  }

  @Test
  void sendsARequestToAnotherServerWhereItMayBeRepeated() throws Exception {
    start(2, 100);
    assertWhole(call("stream"));
    assertThat(fixture.runsOf("silent-stream")).hasSize(2);
  }
}
