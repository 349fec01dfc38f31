package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.Polling;
import org.wigeonstage.platform.standin.Rehearsal;
import org.wigeonstage.platform.standin.RunnerStandin;
import org.wigeonstage.platform.standin.RunnerStandin.Behaviour;

/** LOST: what callers get, and what is written, where requests are open when a gateway stops. */
class GatewayShutdownIT {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int GRACE_SECONDS = 3;

  /** More than one runner has places for. */
  private static final int CALLS = 8;

  /** Longer than the grace, so that only the stop ends requests. */
  private static final String DEADLINE = "Deadline-Ms: 60000\r\n";

  private static final String CLOSES = "Connection: close\r\n";

  private final DecisionLogCapture decisions = new DecisionLogCapture();
  private GatewayFixture fixture;

  @BeforeEach
  void start() throws InterruptedException {
    ObjectNode configuration = Rehearsal.configuration();
    for (JsonNode route : configuration.path("routes")) {
      ((ObjectNode) route)
          .put("timeout_ms", 60_000)
          .put("target_latency_ms", 60_000)
          .put("max_attempts", 1);
    }
    fixture = new GatewayFixture(1, configuration, GRACE_SECONDS);
    fixture.awaitStatus("plain", 200);
  }

  @AfterEach
  void stop() throws IOException {
    fixture.close();
    decisions.close();
  }

  private RunnerStandin runner() {
    return fixture.runners.get(0);
  }

  private void awaitRun(String id) throws InterruptedException {
    assertThat(Polling.await(() -> !fixture.runsOf(id).isEmpty(), TIMEOUT)).isTrue();
  }

  @Test
  void writesWhatARequestWaitedForThatIsOpenAtTheEnd() throws Exception {
    runner().behave(Behaviour.RUNS_FOREVER);
    try (Socket socket = fixture.send("plain", "open-1", DEADLINE)) {
      awaitRun("open-1");
      assertThat(fixture.gateway.drain()).isFalse();
      assertThat(decisions.of("left-open"))
          .singleElement()
          .asString()
          .contains("\"request\":\"open-1\"", "\"waitedFor\":\"first-part\"", "\"begun\":false");
      assertThat(decisions.of("placed")).anyMatch(line -> line.contains("open-1"));
    }
  }

  @Test
  void writesEachPhaseOfAStopWithWhatIsOpen() throws Exception {
    runner().behave(Behaviour.RUNS_FOREVER);
    try (Socket socket = fixture.send("plain", "open-1", DEADLINE)) {
      awaitRun("open-1");
      fixture.gateway.drain();
    }
    for (String event : new String[] {"leaving", "no-longer-taking", "given-up"}) {
      assertPhase(event, 1);
    }
    assertPhase("stopped", 0);
  }

  /** LOST: connections were cut, and new ones taken, until the process was gone. */
  @Test
  void closesItsConnectionsAndTakesNoNewOnesBeforeItEnds() throws Exception {
    try (Socket idle = GatewayFixture.connect(fixture.gateway)) {
      assertThat(fixture.gateway.drain()).isTrue();
      assertThat(decisions.of("stopped"))
          .singleElement()
          .asString()
          .contains("\"answersDelivered\":true", "\"unansweredRequests\":0")
          .contains("\"untakenAnswers\":0");
      assertThat(GatewayFixture.answerOn(idle)).isEmpty();
      assertThatThrownBy(() -> GatewayFixture.connect(fixture.gateway))
          .isInstanceOf(ConnectException.class);
    }
  }

  private void assertPhase(String event, int openRequests) {
    assertThat(decisions.of(event))
        .as(event)
        .singleElement()
        .asString()
        .contains("\"openRequests\":" + openRequests, "\"notAdmitted\":0", "\"leavingMillis\":");
  }

  /** LOST: requests that are open when their time is used up. */
  @Test
  void givesWhatIsOpenItsFinalAnswerBeforeItEnds() throws Exception {
    runner().behave(Behaviour.RUNS_FOREVER);
    Map<String, Socket> calls = new ConcurrentHashMap<>();
    for (int i = 0; i < CALLS; i++) {
      String id = "open-%d.".formatted(i);
      calls.put(id, fixture.send("plain", id, CLOSES + DEADLINE));
    }
    assertThat(Polling.await(() -> fixture.gateway.core().openRequests() == CALLS, TIMEOUT))
        .isTrue();
    assertThat(fixture.gateway.drain()).isFalse();
    fixture.gateway.close();
    for (Map.Entry<String, Socket> call : calls.entrySet()) {
      try (Socket socket = call.getValue()) {
        boolean hasRun = !fixture.runsOf(call.getKey()).isEmpty();
        assertThat(GatewayFixture.answerOn(socket))
            .startsWith(hasRun ? "HTTP/1.1 502" : "HTTP/1.1 503")
            .contains(hasRun ? "answer-lost" : "leaving");
      }
    }
    assertThat(decisions.of("left-open"))
        .hasSize(CALLS)
        .anyMatch(line -> line.contains("\"waitedFor\":\"place\""))
        .anyMatch(line -> line.contains("\"waitedFor\":\"first-part\""));
  }

  /** Requests are read until the end by a process that waits for its first configuration. */
  @Test
  void refusesWhatItReadAndDidNotAdmitBeforeItEnds() throws Exception {
    fixture.store.down(true);
    GatewayProcess gateway = fixture.startGateway("gateway-2");
    AtomicBoolean stopped = new AtomicBoolean();
    Map<String, Socket> calls = new ConcurrentHashMap<>();
    Thread callers =
        new Thread(
            () -> {
              for (int i = 0; !stopped.get(); i++) {
                try {
                  String id = "early-%d.".formatted(i);
                  calls.put(id, GatewayFixture.send(gateway, "plain", id, CLOSES + DEADLINE));
                } catch (IOException e) {
                  return; // no longer listened to
                }
                Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(20));
              }
            });
    callers.start();
    gateway.drain();
    assertThat(decisions.of("leaving")).hasSize(1);
    assertThat(decisions.of("stopped")).singleElement().asString().contains("\"notAdmitted\":0");
    stopped.set(true);
    callers.join();
    for (Map.Entry<String, Socket> call : calls.entrySet()) {
      try (Socket socket = call.getValue()) {
        if (decisions.of("rejected").stream().anyMatch(line -> line.contains(call.getKey()))) {
          assertThat(GatewayFixture.answerOn(socket)).startsWith("HTTP/1.1 503");
        }
      }
    }
    assertThat(decisions.of("rejected")).hasSizeGreaterThan(1);
  }
}
