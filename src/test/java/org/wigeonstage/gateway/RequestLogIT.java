package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.Polling;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.platform.standin.RunnerStandin.Behaviour;
import org.wigeonstage.telemetry.RequestHistory;

/** Tests that the logs and metrics alone explain the outcome of a request. */
class RequestLogIT {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final DecisionLogCapture decisions = new DecisionLogCapture();
  private GatewayFixture fixture;

  @BeforeEach
  void start() throws InterruptedException {
    fixture = new GatewayFixture(1);
    fixture.awaitStatus("plain", 200);
  }

  @AfterEach
  void stop() throws Exception {
    fixture.close();
    decisions.close();
  }

  private List<String> historyOf(String id) throws InterruptedException {
    Polling.await(
        () -> decisions.lines().stream().anyMatch(line -> isFinalLineOf(id, line)), TIMEOUT);
    RequestHistory history = new RequestHistory(id);
    decisions.lines().forEach(history::add);
    assertThat(history.unreadableLines()).isZero();
    return history.lines();
  }

  private static boolean isFinalLineOf(String id, String line) {
    return line.contains(id) && (line.contains("\"rejected\"") || line.contains("\"broken-off\""));
  }

  @Test
  void lostResponseIsLoggedWithItsCauseAndVerdict() throws Exception {
    fixture.servers.get(0).setBehaviour(Behaviour.LOSES_RESPONSE);
    fixture.request("plain", "unknown-1");
    assertThat(String.join("\n", historyOf("unknown-1")))
        .containsSubsequence(
            "accepted",
            "kind=NON_IDEMPOTENT",
            "placed",
            "server=runner-1",
            "connection-lost",
            "cause=",
            "attempt-ended",
            "end=LOST",
            "verdict=REPORT_UNKNOWN",
            "rejected",
            "code=answer-lost");
  }

  @Test
  void heldRequestIsLoggedWithTheHeldParts() throws Exception {
    fixture.reload(settings -> settings.putArray("heldPromptParts").add("91bd"));
    fixture.request("stream", "held-1", "Prompt-Prefix: 5c1e:60,91bd:400,e440:20");
    assertThat(String.join("\n", historyOf("held-1")))
        .containsSubsequence("accepted", "held", "parts=91bd", "rejected", "code=prompt-held")
        .doesNotContain("placed");
  }

  @Test
  void lostStreamIsLoggedWithItsSharedPromptPartsAndItsProgress() throws Exception {
    fixture.servers.get(0).setBehaviour(Behaviour.TRUNCATES_RESPONSE);
    fixture.request("stream", "cut-1", "Prompt-Prefix: 5c1e:60,91bd:400,e440:20");
    assertThat(String.join("\n", historyOf("cut-1")))
        .containsSubsequence(
            "accepted",
            "sharedPromptParts=5c1e,91bd",
            "attempt-ended",
            "end=CUT",
            "serverStartedAtMillis=",
            "eventsOfAttempt=3");
  }

  @Test
  void declinedRequestIsLoggedWithItsVerdictAndErrorCode() throws Exception {
    fixture.servers.get(0).setBehaviour(Behaviour.DECLINES);
    fixture.request("plain", "refused-1");
    assertThat(String.join("\n", historyOf("refused-1")))
        .containsSubsequence("placed", "end=DECLINED", "verdict=RE", "rejected", "code=");
  }

  @Test
  void abortedStreamIsLoggedWithItsLastEvent() throws Exception {
    fixture.servers.get(0).setBehaviour(Behaviour.TRUNCATES_RESPONSE);
    fixture.request("stream", "broken-1");
    assertThat(String.join("\n", historyOf("broken-1")))
        .containsSubsequence(
            "placed", "connection-lost", "end=CUT", "verdict=RESUME", "broken-off", "lastEvent=3");
  }

  @Test
  void abortedStreamIsLoggedWithItsProgressAndUndeliveredBytes() throws Exception {
    fixture.servers.get(0).setBehaviour(Behaviour.TRUNCATES_RESPONSE);
    fixture.request("stream", "broken-2");
    assertThat(String.join("\n", historyOf("broken-2")))
        .containsSubsequence(
            "attempt-ended",
            "end=CUT",
            "events=3",
            "lastEventMillisAgo=",
            "readingPaused=false",
            "untakenBytes=",
            "broken-off",
            "events=3",
            "lastEventMillisAgo=",
            "readingPaused=false",
            "untakenBytes=");
  }

  /** Some requests are rejected, because the store confirms the configuration too rarely. */
  @Test
  void allLinesOfARequestAreWrittenOrNone() throws Exception {
    List<String> served = new ArrayList<>();
    List<String> rejected = new ArrayList<>();
    for (int i = 0; served.size() < 200; i++) {
      String id = "ordinary-" + i + ".";
      boolean isServed = GatewayFixture.statusOf(fixture.request("plain", id)) == 200;
      (isServed ? served : rejected).add(id);
    }
    // A served request has three lines: accepted, placed and answered. The last response may arrive
    // before its lines are written.
    Polling.await(() -> served.stream().allMatch(id -> lineCount(id) % 3 == 0), TIMEOUT);
    assertThat(served).allSatisfy(id -> assertThat(lineCount(id)).isIn(0L, 3L));
    assertThat(rejected).allSatisfy(id -> assertThat(lineCount(id)).isEqualTo(1));
    assertThat(served.stream().filter(id -> lineCount(id) > 0)).hasSizeBetween(1, 30);
  }

  private long lineCount(String id) {
    return decisions.lines().stream().filter(line -> line.contains(id)).count();
  }

  @Test
  void requestsAreCountedByLabelsAndOutcome() throws Exception {
    fixture.request("stream", "served-1");
    fixture.servers.get(0).setBehaviour(Behaviour.DECLINES);
    fixture.request("plain", "declined-1");
    Endpoint readiness = fixture.gateway.readinessEndpoint();
    String page;
    try (Socket socket = new Socket(readiness.host(), readiness.port())) {
      String request = "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      page = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
    assertThat(page)
        .contains(
            "wigeonstage_requests_total"
                + "{kind=\"streaming\",tier=\"0.0\",pool=\"engines\",outcome=\"served\"} 1")
        .contains("tier=\"0.0\",pool=\"engines\",outcome=\"no-backend-server\"} 1")
        .contains("wigeonstage_accounts_total{account=\"shop\",outcome=\"no-backend-server\"} 1")
        .contains(
            "wigeonstage_firstPart{kind=\"streaming\",tier=\"0.0\",pool=\"engines\",quantile");
  }
}
