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

/** All servers drop connections that have rested, without notice. */
class StaleConnectionIT {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  /** Longer than the connections used for what must not be sent twice may rest. */
  private static final long REST_MILLIS = 1000;

  private final GatewayFixture fixture = new GatewayFixture(2);

  @AfterEach
  void stop() throws IOException {
    fixture.close();
  }

  @Test
  void repeatsOnANewConnectionWhatWasLostOnARestedOne() throws Exception {
    int[] calls = {0};
    boolean bothUsed =
        Polling.await(
            () -> {
              try {
                fixture.call("status", "warm-" + calls[0]++);
              } catch (IOException e) {
                throw new UncheckedIOException(e);
              }
              return fixture.runners.stream().noneMatch(runner -> runner.runs().isEmpty());
            },
            TIMEOUT);
    assertThat(bothUsed).isTrue();
    Thread.sleep(REST_MILLIS);
    fixture.runners.forEach(runner -> runner.behave(Behaviour.DROPS_KEPT));
    assertThat(statusOf(fixture.call("status", "rested"))).isEqualTo(200);
    assertThat(fixture.runsOf("rested")).hasSize(1);
  }
}
