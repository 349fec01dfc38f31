package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonstage.gateway.GatewayFixture.statusOf;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.Polling;
import org.wigeonstage.platform.standin.RunnerStandin.Behaviour;

/** Tests requests after all backend servers have dropped idle connections without notice. */
class StaleConnectionIT {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  /** Longer than the maximum idle time of connections for requests that must not be sent twice. */
  private static final long IDLE_MILLIS = 1000;

  private final GatewayFixture fixture = new GatewayFixture(2);

  @AfterEach
  void stop() throws IOException {
    fixture.close();
  }

  @Test
  void requestLostOnAStaleConnectionIsRetriedOnANewOne() throws Exception {
    int[] requestCount = {0};
    boolean areBothUsed =
        Polling.await(
            () -> {
              try {
                fixture.request("status", "warm-" + requestCount[0]++);
              } catch (IOException e) {
                throw new UncheckedIOException(e);
              }
              return fixture.servers.stream().noneMatch(server -> server.runs().isEmpty());
            },
            TIMEOUT);
    assertThat(areBothUsed).isTrue();
    Thread.sleep(IDLE_MILLIS);
    fixture.servers.forEach(server -> server.setBehaviour(Behaviour.RESETS_REUSED_CONNECTIONS));
    assertThat(statusOf(fixture.request("status", "idle"))).isEqualTo(200);
    assertThat(fixture.runsOf("idle")).hasSize(1);
  }
}
