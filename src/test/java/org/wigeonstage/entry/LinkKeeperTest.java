package org.wigeonstage.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class LinkKeeperTest {

  /** A ping and a pong in packets of their own, and one packet that acknowledges the pong. */
  private static final int HEARTBEAT_BYTES = 13 + 52 + 34 + 52 + 52;

  private static final int BUDGET_BYTES_PER_SECOND = 3 * 1024;

  @Test
  void fewConnectionsHaveAHeartbeatEachSecond() {
    assertThat(LinkKeeper.heartbeatInterval(1)).isEqualTo(Duration.ofSeconds(1));
    assertThat(LinkKeeper.heartbeatInterval(10)).isEqualTo(Duration.ofSeconds(1));
  }

  @Test
  void heartbeatsStayWithinTheControlBudgetUpToAHundredConnections() {
    for (int links = 1; links <= 100; links++) {
      double seconds = LinkKeeper.heartbeatInterval(links).toMillis() / 1000.0;
      assertThat(links * HEARTBEAT_BYTES / seconds).isLessThan(BUDGET_BYTES_PER_SECOND);
    }
  }

  @Test
  void theIntervalIsBounded() {
    assertThat(LinkKeeper.heartbeatInterval(100_000)).isEqualTo(Duration.ofSeconds(10));
  }
}
