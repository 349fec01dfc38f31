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
import org.wigeonstage.telemetry.RequestStory;

/** What became of a failed request, and why, is found from the logs alone. */
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

  private List<String> story(String id) throws InterruptedException {
    Polling.await(() -> decisions.lines().stream().anyMatch(line -> isLastOf(id, line)), TIMEOUT);
    RequestStory story = new RequestStory(id);
    decisions.lines().forEach(story::add);
    assertThat(story.unreadable()).isZero();
    return story.tell();
  }

  private static boolean isLastOf(String id, String line) {
    return line.contains(id) && (line.contains("\"rejected\"") || line.contains("\"broken-off\""));
  }

  @Test
  void tellsWhyTheOutcomeOfARequestIsUnknown() throws Exception {
    fixture.runners.get(0).behave(Behaviour.LOSES_ANSWER);
    fixture.call("plain", "unknown-1");
    assertThat(String.join("\n", story("unknown-1")))
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
  void tellsWhyARequestWasRefused() throws Exception {
    fixture.runners.get(0).behave(Behaviour.DECLINES);
    fixture.call("plain", "refused-1");
    assertThat(String.join("\n", story("refused-1")))
        .containsSubsequence("placed", "end=DECLINED", "verdict=RE", "rejected", "code=");
  }

  @Test
  void tellsWhereAStreamBroke() throws Exception {
    fixture.runners.get(0).behave(Behaviour.CUTS_ANSWER);
    fixture.call("stream", "broken-1");
    assertThat(String.join("\n", story("broken-1")))
        .containsSubsequence(
            "placed", "connection-lost", "end=CUT", "verdict=RESUME", "broken-off", "lastEvent=3");
  }

  @Test
  void tellsHowFarABrokenStreamHadComeAndWhetherItsCallerTookIt() throws Exception {
    fixture.runners.get(0).behave(Behaviour.CUTS_ANSWER);
    fixture.call("stream", "broken-2");
    assertThat(String.join("\n", story("broken-2")))
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

  /** Requests are refused now and then, because confirmations come less often than they must. */
  @Test
  void writesAllLinesOfARequestOrNone() throws Exception {
    List<String> served = new ArrayList<>();
    List<String> refused = new ArrayList<>();
    for (int i = 0; served.size() < 200; i++) {
      String id = "ordinary-" + i + ".";
      boolean isServed = GatewayFixture.statusOf(fixture.call("plain", id)) == 200;
      (isServed ? served : refused).add(id);
    }
    // The last answer may be here before its lines are.
    Polling.await(() -> served.stream().allMatch(id -> linesOf(id) % 3 == 0), TIMEOUT);
    assertThat(served).allSatisfy(id -> assertThat(linesOf(id)).isIn(0L, 3L));
    assertThat(refused).allSatisfy(id -> assertThat(linesOf(id)).isEqualTo(1));
    assertThat(served.stream().filter(id -> linesOf(id) > 0)).hasSizeBetween(1, 30);
  }

  private long linesOf(String id) {
    return decisions.lines().stream().filter(line -> line.contains(id)).count();
  }

  @Test
  void countsRequestsByWhatTheyWereAndHowTheyEnded() throws Exception {
    fixture.call("stream", "served-1");
    fixture.runners.get(0).behave(Behaviour.DECLINES);
    fixture.call("plain", "declined-1");
    Endpoint operators = fixture.gateway.readinessEndpoint();
    String page;
    try (Socket socket = new Socket(operators.host(), operators.port())) {
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
