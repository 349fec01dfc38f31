package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.Polling;
import org.wigeonstage.platform.standin.Rehearsal;
import org.wigeonstage.platform.standin.RunnerStandin;

/** Tests roll-outs with three gateways that exchange their evidence over links. */
class RolloutIT {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final Duration CALL_INTERVAL = Duration.ofMillis(12);
  private static final int GATEWAYS = 3;

  private static ObjectNode settings() {
    ObjectNode settings = JsonNodeFactory.instance.objectNode();
    settings.putArray("features").add("rollout");
    return settings.put("rolloutMaxShare", 0.1).put("rolloutSlack", 50);
  }

  /** Gateways, servers of two versions and callers that call without pause. */
  private static final class Deployment implements AutoCloseable {
    final GatewayFixture fixture = new GatewayFixture(3, Rehearsal.configuration(), settings());
    final List<GatewayProcess> gateways = new ArrayList<>(List.of(fixture.gateway));
    final List<RunnerStandin> newServers = new ArrayList<>();
    final AtomicInteger calls = new AtomicInteger();
    final AtomicInteger failedCalls = new AtomicInteger();
    private final AtomicBoolean isClosed = new AtomicBoolean();
    private final List<Thread> callers = new ArrayList<>();

    Deployment(RunnerStandin.Behaviour behaviour) throws InterruptedException {
      for (int i = 2; i <= GATEWAYS; i++) {
        gateways.add(fixture.startGateway("gateway-" + i));
      }
      boolean isConnected =
          Polling.await(
              () -> gateways.stream().allMatch(gateway -> gateway.peerCount() == GATEWAYS - 1),
              TIMEOUT);
      assertThat(isConnected).isTrue();
      fixture.awaitStatus("status", 200);
      for (int i = 1; i <= 3; i++) {
        RunnerStandin server = fixture.addServer("new-" + i);
        server.setBehaviour(behaviour);
        newServers.add(server);
        fixture.store.write(
            "servers", "new-" + i, server.registration("engines", "draining").put("version", "v2"));
      }
    }

    void order(int seconds) {
      for (int i = 1; i <= newServers.size(); i++) {
        fixture.store.write(
            "servers",
            "new-" + i,
            newServers.get(i - 1).registration("engines", "ready").put("version", "v2"));
      }
      fixture.store.write(
          "rollouts",
          "engines",
          JsonNodeFactory.instance
              .objectNode()
              .put("service", "engines")
              .put("target", "v2")
              .put("duration_s", seconds));
    }

    void startCallers() {
      for (GatewayProcess gateway : gateways) {
        Thread caller = new Thread(() -> callRepeatedly(gateway), "caller");
        callers.add(caller);
        caller.start();
      }
    }

    private void callRepeatedly(GatewayProcess gateway) {
      for (int i = 0; !isClosed.get(); i++) {
        String route = i % 3 == 0 ? "stream" : "status";
        String fields = "Connection: close\r\nDeadline-Ms: 2500\r\n";
        String id = "call-" + calls.incrementAndGet();
        String tokens = route.equals("stream") ? "Token-Count: 10,20\r\n" : "";
        try (Socket socket = GatewayFixture.send(gateway, route, id, fields + tokens)) {
          if (GatewayFixture.statusOf(GatewayFixture.readResponse(socket)) != 200) {
            failedCalls.incrementAndGet();
          }
          Thread.sleep(CALL_INTERVAL.toMillis());
        } catch (IOException e) {
          failedCalls.incrementAndGet();
        } catch (InterruptedException e) {
          return;
        }
      }
    }

    int runsAtNewServers() {
      return newServers.stream().mapToInt(server -> server.runs().size()).sum();
    }

    int runsAtOldServers() {
      return fixture.servers.subList(0, 3).stream().mapToInt(server -> server.runs().size()).sum();
    }

    boolean awaitState(String state) throws InterruptedException {
      return Polling.await(() -> fixture.store.statusWrites().contains(state), TIMEOUT);
    }

    @Override
    public void close() throws IOException, InterruptedException {
      isClosed.set(true);
      for (Thread caller : callers) {
        caller.join(TIMEOUT.toMillis());
      }
      fixture.close();
    }
  }

  /** Guards against a sound version that does not get the traffic in time, at no caller's cost. */
  @Test
  void completesSoundVersion() throws Exception {
    try (Deployment deployment = new Deployment(RunnerStandin.Behaviour.NORMAL)) {
      deployment.startCallers();
      deployment.order(8);
      assertThat(deployment.awaitState("completed")).isTrue();
      int runsBefore = deployment.runsAtOldServers();
      int callsBefore = deployment.calls.get();
      assertThat(deployment.fixture.store.statusWrites()).containsExactly("active", "completed");
      assertThat(Polling.await(() -> deployment.calls.get() > callsBefore + 30, TIMEOUT)).isTrue();
      assertThat(deployment.runsAtOldServers()).isEqualTo(runsBefore);
      assertThat(deployment.failedCalls).hasValue(0);
    }
  }

  /** Guards against a faulty version that gets more than its share, or requests afterwards. */
  @Test
  void rollsBackFaultyVersion() throws Exception {
    try (Deployment deployment = new Deployment(RunnerStandin.Behaviour.FAILS)) {
      deployment.startCallers();
      deployment.order(8);
      assertThat(deployment.awaitState("rolled_back")).isTrue();
      int callsBefore = deployment.calls.get();
      assertThat(Polling.await(() -> deployment.calls.get() > callsBefore + 30, TIMEOUT)).isTrue();
      int runs = deployment.runsAtNewServers();
      assertThat(runs).isLessThanOrEqualTo(50);
      int callsAfter = deployment.calls.get();
      assertThat(Polling.await(() -> deployment.calls.get() > callsAfter + 30, TIMEOUT)).isTrue();
      assertThat(deployment.runsAtNewServers()).isEqualTo(runs);
    }
  }

  /** Guards against calls to the store and restrictions where the feature is off. */
  @Test
  void ignoresOrdersWhereFeatureIsOff() throws Exception {
    try (GatewayFixture fixture = new GatewayFixture(1)) {
      fixture.awaitStatus("status", 200);
      fixture.store.write(
          "rollouts",
          "engines",
          JsonNodeFactory.instance
              .objectNode()
              .put("service", "engines")
              .put("target", "v1")
              .put("duration_s", 1));
      Thread.sleep(1500);
      assertThat(fixture.store.statusWrites()).isEmpty();
      assertThat(fixture.store.callsOf("rollouts")).isZero();
    }
  }
}
