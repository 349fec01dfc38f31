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

/**
 * Tests connections that discard all traffic, dropped engine connections, and hosts that only the
 * host list reports as leaving.
 */
class NetworkFaultsIT {

  private static final int STREAMS = 12;
  private static final int TOKENS = 100;

  @TempDir Path directory;
  private ProcessFleet fleet;
  private Endpoint platform;
  private ProcessFleet.EntryAddresses entry;
  private final List<FaultInjectingProxy> proxies = new ArrayList<>();
  private final List<Endpoint> engines = new ArrayList<>();

  @BeforeEach
  void startAgentsBehindProxies() throws IOException {
    fleet = new ProcessFleet(directory);
    platform = fleet.startPlatform();
    for (int i = 1; i <= 2; i++) {
      Endpoint engine = fleet.startEngine("engine-" + i);
      engines.add(engine);
      Endpoint entries = FreeEndpoints.next();
      FaultInjectingProxy proxy = new FaultInjectingProxy(entries);
      proxies.add(proxy);
      fleet.startAgentBehindProxy(proxy.endpoint(), "agent-" + i, entries, engine, platform);
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
    for (FaultInjectingProxy proxy : proxies) {
      proxy.close();
    }
    fleet.close();
  }

  private List<ChatCalls.StreamingCall> startStreams(String prefix) {
    List<ChatCalls.StreamingCall> calls =
        ChatCalls.startStreams(fleet.client(), entry.callers(), prefix, STREAMS, TOKENS);
    ProcessFleet.await(
        () -> calls.stream().allMatch(ChatCalls.StreamingCall::hasStarted), "streams to start");
    return calls;
  }

  private long receivedRequests(int engineIndex) {
    JsonNode load =
        Json.parse(fleet.call(engines.get(engineIndex), "GET", "/v1/load", "", Map.of()).text());
    return load.path("received").asLong();
  }

  @Test
  void streamsResumeWhenConnectionsDiscardAllTraffic() throws Exception {
    List<ChatCalls.StreamingCall> calls = startStreams("silent ");
    int affectedConnections = proxies.stream().mapToInt(FaultInjectingProxy::discardTraffic).sum();
    assertThat(affectedConnections).isEqualTo(2);
    for (ChatCalls.StreamingCall call : calls) {
      assertThat(call.awaitOutcome()).isEqualTo("completed");
    }
    assertThat(receivedRequests(0) + receivedRequests(1)).isEqualTo(STREAMS);
  }

  @Test
  void hostListedAsLeavingReceivesNoNewRequests() throws Exception {
    startStreams("before ");
    String hosts =
        "[{\"name\":\"agent-1\",\"leaving\":true},{\"name\":\"agent-2\",\"leaving\":false}]";
    fleet.call(platform, "POST", "/standin/hosts", hosts, Map.of());
    // The entry reads the host list every 2 s.
    ProcessFleet.sleep(3000);
    long receivedBefore = receivedRequests(0);
    for (ChatCalls.StreamingCall call : startStreams("after ")) {
      assertThat(call.awaitOutcome()).isEqualTo("completed");
    }
    assertThat(receivedRequests(0)).isEqualTo(receivedBefore);
  }

  @Test
  void streamsResumeAfterTheEngineDropsItsConnections() throws Exception {
    List<ChatCalls.StreamingCall> calls = startStreams("engine breaks ");
    for (Endpoint engine : engines) {
      fleet.call(engine, "POST", "/standin/drop-readers", "", Map.of());
    }
    for (ChatCalls.StreamingCall call : calls) {
      assertThat(call.awaitOutcome()).isEqualTo("completed");
    }
    assertThat(receivedRequests(0) + receivedRequests(1)).isEqualTo(STREAMS);
  }
}
