package org.wigeonstage.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class AgentLinkManagerTest {

  /**
   * A ping of 13 bytes and a pong of 34 bytes, each in a packet with headers of 52 bytes, and a
   * packet of 52 bytes that acknowledges the pong.
   */
  private static final int HEARTBEAT_BYTES = 13 + 52 + 34 + 52 + 52;

  private static final int MAX_HEARTBEAT_BYTES_PER_SECOND = 3 * 1024;

  @Test
  void sendsHeartbeatEachSecondOnUpToTenLinks() {
    assertThat(AgentLinkManager.heartbeatInterval(1)).isEqualTo(Duration.ofSeconds(1));
    assertThat(AgentLinkManager.heartbeatInterval(10)).isEqualTo(Duration.ofSeconds(1));
  }

  @Test
  void keepsHeartbeatBytesWithinLimitOnUpToHundredLinks() {
    for (int links = 1; links <= 100; links++) {
      double seconds = AgentLinkManager.heartbeatInterval(links).toMillis() / 1000.0;
      assertThat(links * HEARTBEAT_BYTES / seconds).isLessThan(MAX_HEARTBEAT_BYTES_PER_SECOND);
    }
  }

  @Test
  void limitsHeartbeatIntervalToTenSeconds() {
    assertThat(AgentLinkManager.heartbeatInterval(100_000)).isEqualTo(Duration.ofSeconds(10));
  }
}
