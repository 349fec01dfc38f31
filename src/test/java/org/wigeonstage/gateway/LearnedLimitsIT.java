package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.io.Closer;
import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.Polling;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.platform.standin.Rehearsal;

/** Tests that gateways with learned limits serve requests, and tell each other of a slow server. */
class LearnedLimitsIT {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final String POOL = "engines";
  private static final int SLOTS = 4;
  private static final BackendServer SLOW =
      new BackendServer("runner-1", POOL, Endpoint.parse("127.0.0.1:1"), "zone-a", SLOTS, false, 0);

  private final Closer closer = Closer.create();
  private final DecisionLogCapture decisions = closer.register(new DecisionLogCapture());
  private GatewayFixture fixture;

  @BeforeEach
  void start() throws Exception {
    fixture =
        closer.register(
            new GatewayFixture(
                3,
                Rehearsal.configuration(),
                JsonNodeFactory.instance.objectNode().put("learnedServerLimits", true)));
    fixture.awaitStatus("stream", 200);
  }

  @AfterEach
  void stop() throws IOException {
    closer.close();
  }

  /** Records slow parts of responses, as those of an engine that takes a second for an event. */
  private void recordSlowPace() {
    GatewayCore core = fixture.gateway.core();
    core.withLock(
        () -> core.capacities().recordPartialGap(POOL, SLOW, Duration.ofSeconds(1), core.now()));
  }

  private int limitAt(GatewayProcess gateway) {
    GatewayCore core = gateway.core();
    return core.readWithLock(() -> core.capacities().limit(POOL, SLOW));
  }

  @Test
  void servesStreams() throws IOException {
    for (int i = 0; i < 30; i++) {
      assertThat(GatewayFixture.statusOf(fixture.request("stream", "r" + i))).isEqualTo(200);
    }
    assertThat(limitAt(fixture.gateway)).isEqualTo(SLOTS);
  }

  @Test
  void slowServerIsLimitedAtPeersToo() throws Exception {
    GatewayProcess peer = fixture.startGateway("gateway-2");
    assertThat(Polling.await(() -> peer.peerCount() == 1, TIMEOUT)).isTrue();
    assertThat(
            Polling.await(
                () -> {
                  recordSlowPace();
                  return limitAt(fixture.gateway) < SLOTS && limitAt(peer) < SLOTS;
                },
                TIMEOUT))
        .isTrue();
    assertThat(Polling.await(() -> !decisions.linesOf("server-limit").isEmpty(), TIMEOUT)).isTrue();
  }
}
