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
import org.wigeonstage.standin.EngineResponses;

/** Runs entry, agents, engines and platform as processes, and stops, pauses or kills them. */
class ProcessesIT {

  private static final int STREAMS = 24;
  private static final int TOKENS = 60;

  @TempDir Path directory;
  private ProcessFleet fleet;
  private Endpoint platform;
  private ProcessFleet.EntryAddresses entry;

  @BeforeEach
  void startEntryAndTwoAgents() throws IOException {
    fleet = new ProcessFleet(directory);
    platform = fleet.startPlatform();
    for (int i = 1; i <= 2; i++) {
      Endpoint engine = fleet.startEngine("engine-" + i);
      fleet.startAgent("agent-" + i, "model", FreeEndpoints.next(), engine, platform);
    }
    entry = fleet.startEntry("entry-1", platform, List.of());
    fleet.submitConfiguration(
        entry,
        List.of(ProcessFleet.pool("runners", "model", List.of("agent-1", "agent-2"))),
        List.of());
    fleet.awaitAvailableAgents(entry, 2);
  }

  @AfterEach
  void stop() throws IOException {
    fleet.close();
  }

  private List<ChatCalls.StreamingCall> startStreams(String prefix) {
    List<ChatCalls.StreamingCall> calls =
        ChatCalls.startStreams(fleet.client(), entry.callers(), prefix, STREAMS, TOKENS);
    ProcessFleet.await(
        () -> calls.stream().filter(ChatCalls.StreamingCall::hasStarted).count() > STREAMS / 2,
        "streams to start");
    return calls;
  }

  private static List<String> awaitOutcomes(List<ChatCalls.StreamingCall> calls) throws Exception {
    List<String> outcomes = new ArrayList<>();
    for (ChatCalls.StreamingCall call : calls) {
      outcomes.add(call.awaitOutcome());
    }
    return outcomes;
  }

  @Test
  void plainAndStreamedCallsComplete() throws Exception {
    HttpResponse response =
        fleet.callWithAccountKey(
            entry.callers(), "/v1/chat/completions", ChatCalls.chatBody("hello", 5, false));
    assertThat(response.status()).isEqualTo(200);
    assertThat(Json.parse(response.text()).at("/choices/0/message/content").asText())
        .isEqualTo(EngineResponses.text("hello", 5));
    assertThat(awaitOutcomes(startStreams("stream "))).hasSize(STREAMS).containsOnly("completed");
  }

  @Test
  void invalidRequestsAreRejectedWithTheirErrorCodes() {
    assertCode(callRaw("{not json", Map.of()), 401, "unauthorized");
    assertCode(callWithKey("{not json"), 400, "bad-request");
    assertCode(callWithKey("{\"model\":\"nobody\"}"), 404, "unknown-model");
    assertCode(callWithKey("x".repeat(70_000)), 413, "body-too-large");
    assertCode(callRaw("{}", Map.of("Authorization", "Bearer wrong")), 401, "unauthorized");
  }

  private HttpResponse callWithKey(String body) {
    return fleet.callWithAccountKey(entry.callers(), "/v1/chat/completions", body);
  }

  private HttpResponse callRaw(String body, Map<String, String> fields) {
    return fleet.call(entry.callers(), "POST", "/v1/chat/completions", body, fields);
  }

  private static void assertCode(HttpResponse response, int status, String code) {
    assertThat(response.status()).isEqualTo(status);
    assertThat(Json.parse(response.text()).path("code").asText()).isEqualTo(code);
  }

  @Test
  void streamsCompleteWhenTheEntryReceivesSigterm() throws Exception {
    List<ChatCalls.StreamingCall> calls = startStreams("entry leaves ");
    fleet.signal("entry-1", "TERM");
    assertThat(awaitOutcomes(calls)).containsOnly("completed");
    assertThat(fleet.awaitExit("entry-1")).isZero();
  }

  @Test
  void streamsCompleteWhenAnAgentReceivesSigterm() throws Exception {
    List<ChatCalls.StreamingCall> calls = startStreams("agent leaves ");
    fleet.signal("agent-1", "TERM");
    assertThat(awaitOutcomes(calls)).containsOnly("completed");
    assertThat(fleet.awaitExit("agent-1")).isZero();
    assertThat(awaitOutcomes(startStreams("after "))).containsOnly("completed");
  }

  @Test
  void streamsCompleteWhenAnAgentIsPaused() throws Exception {
    List<ChatCalls.StreamingCall> calls = startStreams("agent pauses ");
    fleet.signal("agent-1", "STOP");
    ProcessFleet.sleep(5000);
    fleet.signal("agent-1", "CONT");
    assertThat(awaitOutcomes(calls)).containsOnly("completed");
  }

  @Test
  void streamsCompleteOrEndUnknownWhenAnAgentIsKilled() throws Exception {
    List<ChatCalls.StreamingCall> calls = startStreams("agent dies ");
    fleet.process("agent-1").destroyForcibly();
    fleet.awaitExit("agent-1");
    Endpoint engine = fleet.startEngine("engine-3");
    fleet.startAgent("agent-1", "model", FreeEndpoints.next(), engine, platform);
    assertThat(awaitOutcomes(calls)).containsOnly("completed", "unknown");
  }

  @Test
  void streamsCompleteWhenThePlatformIsDown() throws Exception {
    fleet.process("platform").destroyForcibly();
    fleet.awaitExit("platform");
    assertThat(awaitOutcomes(startStreams("no platform "))).containsOnly("completed");
  }

  @Test
  void entryStartedDuringAPlatformOutageServesFromItsPeersSnapshot() throws Exception {
    fleet.process("platform").destroyForcibly();
    fleet.awaitExit("platform");
    ProcessFleet.EntryAddresses lateEntry =
        fleet.startEntry("entry-2", platform, List.of(entry.operators()));
    fleet.awaitAvailableAgents(lateEntry, 2);
    HttpResponse response =
        fleet.callWithAccountKey(
            lateEntry.callers(), "/v1/chat/completions", ChatCalls.chatBody("late", 5, false));
    assertThat(response.status()).isEqualTo(200);
  }
}
