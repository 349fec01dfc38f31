package org.wigeonstage.system;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wigeonstage.common.Json;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpResponse;
import org.wigeonstage.standin.EngineAnswers;

/** Runs entry, agents, engines and the platform as separate processes, and makes them fail. */
class ProcessesIT {

  private static final int STREAMS = 24;
  private static final int TOKENS = 60;

  @TempDir Path directory;
  private Fleet fleet;
  private Endpoint platform;
  private Fleet.EntryAddresses entry;

  @BeforeEach
  void startEntryAndTwoAgents() throws IOException {
    fleet = new Fleet(directory);
    platform = fleet.platform();
    for (int i = 1; i <= 2; i++) {
      Endpoint engine = fleet.engine("engine-" + i);
      fleet.agent("agent-" + i, "model", Fleet.freePort(), engine, platform);
    }
    entry = fleet.entry("entry-1", platform, List.of());
    fleet.configure(
        entry, List.of(Fleet.pool("runners", "model", List.of("agent-1", "agent-2"))), List.of());
    fleet.awaitAgents(entry, 2);
  }

  @AfterEach
  void stop() throws IOException {
    fleet.close();
  }

  private List<Callers.StreamedCall> startStreams(String prefix) {
    List<Callers.StreamedCall> calls =
        Callers.startStreams(fleet.client(), entry.callers(), prefix, STREAMS, TOKENS);
    Fleet.await(
        () -> calls.stream().filter(Callers.StreamedCall::hasBegun).count() > STREAMS / 2,
        "streams to begin");
    return calls;
  }

  private static List<String> outcomes(List<Callers.StreamedCall> calls) throws Exception {
    List<String> outcomes = new ArrayList<>();
    for (Callers.StreamedCall call : calls) {
      outcomes.add(call.outcome());
    }
    return outcomes;
  }

  @Test
  void wholeAndStreamedAnswersComeThrough() throws Exception {
    HttpResponse whole =
        fleet.callAsAccount(
            entry.callers(), "/v1/chat/completions", Callers.chatBody("hello", 5, false));
    assertThat(whole.status()).isEqualTo(200);
    assertThat(Json.parse(whole.text()).at("/choices/0/message/content").asText())
        .isEqualTo(EngineAnswers.text("hello", 5));
    assertThat(outcomes(startStreams("stream "))).hasSize(STREAMS).containsOnly("completed");
  }

  @Test
  void badRequestsGetStableCodes() {
    assertCode(callRaw("{not json", Map.of()), 401, "unauthorized");
    assertCode(callAccount("{not json"), 400, "bad-request");
    assertCode(callAccount("{\"model\":\"nobody\"}"), 404, "unknown-model");
    assertCode(callAccount("x".repeat(70_000)), 413, "body-too-large");
    assertCode(callRaw("{}", Map.of("Authorization", "Bearer wrong")), 401, "unauthorized");
  }

  private HttpResponse callAccount(String body) {
    return fleet.callAsAccount(entry.callers(), "/v1/chat/completions", body);
  }

  private HttpResponse callRaw(String body, Map<String, String> headers) {
    return fleet.call(entry.callers(), "POST", "/v1/chat/completions", body, headers);
  }

  private static void assertCode(HttpResponse answer, int status, String code) {
    assertThat(answer.status()).isEqualTo(status);
    assertThat(Json.parse(answer.text()).path("code").asText()).isEqualTo(code);
  }

  @Test
  void aSignalledEntryCutsNoAnswer() throws Exception {
    List<Callers.StreamedCall> calls = startStreams("entry leaves ");
    fleet.signal("entry-1", "TERM");
    assertThat(outcomes(calls)).containsOnly("completed");
    assertThat(fleet.awaitExit("entry-1")).isZero();
  }

  @Test
  void aSignalledAgentCutsNoAnswer() throws Exception {
    List<Callers.StreamedCall> calls = startStreams("agent leaves ");
    fleet.signal("agent-1", "TERM");
    assertThat(outcomes(calls)).containsOnly("completed");
    assertThat(fleet.awaitExit("agent-1")).isZero();
    assertThat(outcomes(startStreams("after "))).containsOnly("completed");
  }

  @Test
  void aPausedAgentLosesNothing() throws Exception {
    List<Callers.StreamedCall> calls = startStreams("agent pauses ");
    fleet.signal("agent-1", "STOP");
    Fleet.sleep(5000);
    fleet.signal("agent-1", "CONT");
    assertThat(outcomes(calls)).containsOnly("completed");
  }

  @Test
  void aKilledAgentLeavesOutcomesUnknownAndTheRestCompleted() throws Exception {
    List<Callers.StreamedCall> calls = startStreams("agent dies ");
    fleet.process("agent-1").destroyForcibly();
    fleet.awaitExit("agent-1");
    Endpoint engine = fleet.engine("engine-3");
    fleet.agent("agent-1", "model", Fleet.freePort(), engine, platform);
    assertThat(outcomes(calls)).containsOnly("completed", "unknown");
  }

  @Test
  void aFailingPlatformDoesNotTouchTraffic() throws Exception {
    fleet.process("platform").destroyForcibly();
    fleet.awaitExit("platform");
    assertThat(outcomes(startStreams("no platform "))).containsOnly("completed");
  }

  @Test
  void anEntryThatStartsDuringAnOutageLearnsFromItsPeers() throws Exception {
    fleet.process("platform").destroyForcibly();
    fleet.awaitExit("platform");
    Fleet.EntryAddresses late = fleet.entry("entry-2", platform, List.of(entry.operators()));
    fleet.awaitAgents(late, 2);
    HttpResponse answer =
        fleet.callAsAccount(
            late.callers(), "/v1/chat/completions", Callers.chatBody("late", 5, false));
    assertThat(answer.status()).isEqualTo(200);
  }
}
