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
import java.util.ArrayList;
import java.util.List;
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

/** Tests the responses to requests that are open when a gateway shuts down, and its log. */
class GatewayShutdownIT {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int GRACE_SECONDS = 3;

  /** More than the slots of one server. */
  private static final int REQUEST_COUNT = 8;

  /** Longer than the grace period, so that only the shutdown ends requests. */
  private static final String DEADLINE_FIELD = "Deadline-Ms: 60000\r\n";

  private static final long SEND_INTERVAL_MILLIS = 50;
  private static final String CLOSE_FIELD = "Connection: close\r\n";

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

  private RunnerStandin server() {
    return fixture.servers.get(0);
  }

  private void awaitRun(String id) throws InterruptedException {
    assertThat(Polling.await(() -> !fixture.runsOf(id).isEmpty(), TIMEOUT)).isTrue();
  }

  @Test
  void whatAnOpenRequestWaitedForIsLogged() throws Exception {
    server().setBehaviour(Behaviour.NEVER_RESPONDS);
    try (Socket socket = fixture.send("plain", "open-1", DEADLINE_FIELD)) {
      awaitRun("open-1");
      assertThat(fixture.gateway.drain()).isFalse();
      assertThat(decisions.linesOf("left-open"))
          .singleElement()
          .asString()
          .contains("\"request\":\"open-1\"", "\"waitedFor\":\"first-part\"", "\"begun\":false");
      assertThat(decisions.linesOf("placed")).anyMatch(line -> line.contains("open-1"));
    }
  }

  @Test
  void eachShutdownPhaseIsLoggedWithTheOpenRequests() throws Exception {
    server().setBehaviour(Behaviour.NEVER_RESPONDS);
    try (Socket socket = fixture.send("plain", "open-1", DEADLINE_FIELD)) {
      awaitRun("open-1");
      fixture.gateway.drain();
    }
    for (String event : new String[] {"leaving", "no-longer-taking", "given-up"}) {
      assertPhase(event, 1);
    }
    assertPhase("stopped", 0);
  }

  /** Guards against a process that accepts connections until it exits and breaks them all. */
  @Test
  void connectionsAreClosedAndNotAcceptedBeforeTheProcessExits() throws Exception {
    try (Socket idle = GatewayFixture.connect(fixture.gateway)) {
      assertThat(fixture.gateway.drain()).isTrue();
      assertThat(decisions.linesOf("stopped"))
          .singleElement()
          .asString()
          .contains("\"answersDelivered\":true", "\"unansweredRequests\":0")
          .contains("\"untakenAnswers\":0");
      assertThat(GatewayFixture.readResponse(idle)).isEmpty();
      assertThatThrownBy(() -> GatewayFixture.connect(fixture.gateway))
          .isInstanceOf(ConnectException.class);
    }
  }

  private void assertPhase(String event, int openRequests) {
    assertThat(decisions.linesOf(event))
        .as(event)
        .singleElement()
        .asString()
        .contains("\"openRequests\":" + openRequests, "\"notAdmitted\":0", "\"leavingMillis\":");
  }

  /** Guards against the loss of requests that are still open at the end of the grace period. */
  @Test
  void openRequestsGetAFinalResponseBeforeTheProcessExits() throws Exception {
    server().setBehaviour(Behaviour.NEVER_RESPONDS);
    Map<String, Socket> sockets = new ConcurrentHashMap<>();
    for (int i = 0; i < REQUEST_COUNT; i++) {
      String id = "open-%d.".formatted(i);
      sockets.put(id, fixture.send("plain", id, CLOSE_FIELD + DEADLINE_FIELD));
    }
    assertThat(
            Polling.await(
                () -> fixture.gateway.core().openRequestCount() == REQUEST_COUNT, TIMEOUT))
        .isTrue();
    assertThat(fixture.gateway.drain()).isFalse();
    fixture.gateway.close();
    for (Map.Entry<String, Socket> entry : sockets.entrySet()) {
      try (Socket socket = entry.getValue()) {
        boolean hasRun = !fixture.runsOf(entry.getKey()).isEmpty();
        assertThat(GatewayFixture.readResponse(socket))
            .startsWith(hasRun ? "HTTP/1.1 502" : "HTTP/1.1 503")
            .contains(hasRun ? "answer-lost" : "leaving");
      }
    }
    assertThat(decisions.linesOf("left-open"))
        .hasSize(REQUEST_COUNT)
        .anyMatch(line -> line.contains("\"waitedFor\":\"place\""))
        .anyMatch(line -> line.contains("\"waitedFor\":\"first-part\""));
  }

  /** A process that waits for its first configuration defers the requests that it reads. */
  @Test
  void deferredRequestsAreRejectedBeforeTheProcessExits() throws Exception {
    fixture.store.setUnavailable(true);
    GatewayProcess gateway = fixture.startGateway("gateway-2");
    AtomicBoolean isStopped = new AtomicBoolean();
    Map<String, Socket> sockets = new ConcurrentHashMap<>();
    Thread callers =
        new Thread(
            () -> {
              for (int i = 0; !isStopped.get(); i++) {
                try {
                  String id = "early-%d.".formatted(i);
                  sockets.put(
                      id, GatewayFixture.send(gateway, "plain", id, CLOSE_FIELD + DEADLINE_FIELD));
                } catch (IOException e) {
                  return; // the listener is closed
                }
                Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(20));
              }
            });
    callers.start();
    gateway.drain();
    assertThat(decisions.linesOf("leaving")).hasSize(1);
    assertThat(decisions.linesOf("stopped"))
        .singleElement()
        .asString()
        .contains("\"notAdmitted\":0");
    isStopped.set(true);
    callers.join();
    for (Map.Entry<String, Socket> entry : sockets.entrySet()) {
      try (Socket socket = entry.getValue()) {
        if (decisions.linesOf("rejected").stream()
            .anyMatch(line -> line.contains(entry.getKey()))) {
          assertThat(GatewayFixture.readResponse(socket)).startsWith("HTTP/1.1 503");
        }
      }
    }
    assertThat(decisions.linesOf("rejected")).hasSizeGreaterThan(1);
  }

  /** Requests are sent all through the shutdown, to a server that is slower than its rest. */
  @Test
  void requestsThatComeLateInTheGraceAreAnsweredAndTruthfully() throws Exception {
    server().setBehaviour(Behaviour.STALLS);
    List<Socket> sockets = new ArrayList<>();
    Thread stop = new Thread(this::drain);
    stop.start();
    while (stop.isAlive()) {
      try {
        sockets.add(fixture.send("plain", "late-" + sockets.size(), DEADLINE_FIELD + CLOSE_FIELD));
        Thread.sleep(SEND_INTERVAL_MILLIS);
      } catch (ConnectException e) {
        break; // accepted by nobody, so not lost
      }
    }
    for (int i = 0; i < sockets.size(); i++) {
      try (Socket socket = sockets.get(i)) {
        int status = GatewayFixture.statusOf(GatewayFixture.readResponse(socket));
        assertThat(status).as("request %s of %s", i, sockets.size()).isIn(200, 502, 503);
        if (status == 503) {
          assertThat(fixture.runsOf("late-" + i)).isEmpty();
        }
      }
    }
    stop.join();
  }

  private void drain() {
    try {
      fixture.gateway.drain();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
