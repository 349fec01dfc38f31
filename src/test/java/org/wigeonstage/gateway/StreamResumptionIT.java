package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.Polling;
import org.wigeonstage.crash.CrashReport;
import org.wigeonstage.platform.standin.Rehearsal;
import org.wigeonstage.platform.standin.RunnerStandin.Behaviour;

/** Tests streams that break after the first events, while the caller waits for the next one. */
class StreamResumptionIT {

  private static final Duration DEADLINE = Duration.ofSeconds(15);
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final long TIME_TO_TRUNCATION_MILLIS = 150;

  private GatewayFixture fixture;

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  private void start(int fixedRetries, int retryWindowSeconds) throws Exception {
    ObjectNode configuration = Rehearsal.configuration();
    for (JsonNode route : configuration.path("routes")) {
      ((ObjectNode) route).put("timeout_ms", 2 * DEADLINE.toMillis()).put("max_attempts", 3);
    }
    ObjectNode settings =
        JsonNodeFactory.instance
            .objectNode()
            .put("retryRatio", 0)
            .put("retryFixed", fixedRetries)
            .put("retryWindowSeconds", retryWindowSeconds);
    fixture = new GatewayFixture(1, configuration, settings);
    fixture.awaitStatus("status", 200);
    fixture.servers.get(0).setBehaviour(Behaviour.TRUNCATES_RESPONSE);
  }

  private CompletableFuture<String> requestStream(String id) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return fixture.request("stream", id, DEADLINE, "Prompt-Prefix: first:60,own:4");
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
  }

  /** Part of the allowance is a safety margin, so two fixed retries allow one in the window. */
  @Test
  void resumesOnceTheRetryBudgetAllowsIt() throws Exception {
    start(2, 1);
    CompletableFuture<String> response = requestStream("cut");
    assertThat(Polling.await(() -> fixture.runsOf("cut").size() == 2, TIMEOUT)).isTrue();
    fixture.servers.get(0).setBehaviour(Behaviour.NORMAL);
    String stream = response.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    for (int event = 1; event <= 8; event++) {
      assertThat(stream).containsOnlyOnce("id: " + event + "\n");
    }
    assertThat(stream).endsWith("0\r\n\r\n");
    assertThat(fixture.runsOf("cut")).hasSize(3);
  }

  @Test
  void isAbortedWithoutAnotherRunIfTheRetryBudgetNeverAllowsOne() throws Exception {
    start(0, 1);
    String stream = requestStream("cut").get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    assertThat(stream).contains("id: 3\n").doesNotContain("id: 4\n").doesNotEndWith("0\r\n\r\n");
    assertThat(fixture.runsOf("cut")).hasSize(1);
  }

  @Test
  void isAbortedIfTheServerFailsAfterTheResumptionAndTheRetryBudgetIsUsedUp() throws Exception {
    start(2, 60);
    fixture.servers.get(0).setBehaviour(Behaviour.TRUNCATES_THEN_FAILS);
    String stream = requestStream("cut").get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    assertThat(stream).contains("id: 3\n").doesNotContain("id: 4\n").doesNotEndWith("0\r\n\r\n");
    assertThat(fixture.runsOf("cut")).hasSize(2);
  }

  /** Its prompt is held and cleared again while it waits for the retry budget. */
  @Test
  void isNotResumedBeyondTheRetryBudgetAfterItsPromptWasHeld() throws Exception {
    start(0, 1);
    CompletableFuture<String> response = requestStream("cut");
    assertThat(Polling.await(() -> !fixture.runsOf("cut").isEmpty(), TIMEOUT)).isTrue();
    Thread.sleep(TIME_TO_TRUNCATION_MILLIS);
    reportCrashes(Set.of());
    Thread.sleep(TIME_TO_TRUNCATION_MILLIS);
    reportCrashes(Set.of("first"));
    assertThat(response.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).doesNotContain("id: 4\n");
    assertThat(fixture.runsOf("cut")).hasSize(1);
  }

  /** Reports three crashes in which requests with the part "first" were interrupted. */
  private void reportCrashes(Set<String> cleared) {
    for (int i = 0; i < 3; i++) {
      CrashReport report =
          new CrashReport(
              "run-" + i,
              "engines",
              Duration.ofMillis(100L * i),
              false,
              false,
              List.of(List.of("first")),
              cleared);
      GatewayCore core = fixture.gateway.core();
      core.withLock(() -> core.promptHolds().applyReport(report, "peer"));
    }
  }
}
