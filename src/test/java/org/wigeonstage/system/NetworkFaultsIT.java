package org.wigeonstage.system;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
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

/** Makes connections go silent, and lets hosts leave without a word. */
class NetworkFaultsIT {

  private static final int STREAMS = 12;
  private static final int TOKENS = 100;

  @TempDir Path directory;
  private Fleet fleet;
  private Endpoint platform;
  private Fleet.EntryAddresses entry;
  private final List<Relay> relays = new ArrayList<>();
  private final List<Endpoint> engines = new ArrayList<>();

  @BeforeEach
  void startAgentsBehindRelays() throws IOException {
    fleet = new Fleet(directory);
    platform = fleet.platform();
    for (int i = 1; i <= 2; i++) {
      Endpoint engine = fleet.engine("engine-" + i);
      engines.add(engine);
      Endpoint entries = Fleet.freePort();
      Relay relay = new Relay(entries);
      relays.add(relay);
      fleet.agentBehind(relay.endpoint(), "agent-" + i, entries, engine, platform);
    }
    entry = fleet.entry("entry-1", platform, List.of());
    fleet.configure(
        entry, List.of(Fleet.pool("runners", "model", List.of("agent-1", "agent-2"))), List.of());
    fleet.awaitAgents(entry, 2);
  }

  @AfterEach
  void stop() throws IOException {
    for (Relay relay : relays) {
      relay.close();
    }
    fleet.close();
  }

  private List<Callers.StreamedCall> startStreams(String prefix) {
    List<Callers.StreamedCall> calls =
        Callers.startStreams(fleet.client(), entry.callers(), prefix, STREAMS, TOKENS);
    Fleet.await(() -> calls.stream().allMatch(Callers.StreamedCall::hasBegun), "streams to begin");
    return calls;
  }

  private long received(int engine) {
    JsonNode load =
        Json.parse(fleet.call(engines.get(engine), "GET", "/v1/load", "", Map.of()).text());
    return load.path("received").asLong();
  }

  @Test
  void silentConnectionsAreReplacedAndAnswersResumed() throws Exception {
    List<Callers.StreamedCall> calls = startStreams("silent ");
    int lost = relays.stream().mapToInt(Relay::loseTrack).sum();
    assertThat(lost).isEqualTo(2);
    for (Callers.StreamedCall call : calls) {
      assertThat(call.outcome()).isEqualTo("completed");
    }
    assertThat(received(0) + received(1)).isEqualTo(STREAMS);
  }

  @Test
  void aHostThatOnlyTheListCallsLeavingGetsNoNewWork() throws Exception {
    startStreams("before ");
    String hosts =
        "[{\"name\":\"agent-1\",\"leaving\":true},{\"name\":\"agent-2\",\"leaving\":false}]";
    fleet.call(platform, "POST", "/standin/hosts", hosts, Map.of());
    Fleet.sleep(3000);
    long before = received(0);
    for (Callers.StreamedCall call : startStreams("after ")) {
      assertThat(call.outcome()).isEqualTo("completed");
    }
    assertThat(received(0)).isEqualTo(before);
  }

  @Test
  void aBrokenEngineStreamIsResumed() throws Exception {
    List<Callers.StreamedCall> calls = startStreams("engine breaks ");
    for (Endpoint engine : engines) {
      fleet.call(engine, "POST", "/standin/drop-readers", "", Map.of());
    }
    for (Callers.StreamedCall call : calls) {
      assertThat(call.outcome()).isEqualTo("completed");
    }
    assertThat(received(0) + received(1)).isEqualTo(STREAMS);
  }
}
