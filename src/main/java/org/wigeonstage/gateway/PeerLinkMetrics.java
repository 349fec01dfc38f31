package org.wigeonstage.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import org.wigeonstage.peering.CloseReason;
import org.wigeonstage.telemetry.MetricName;

/** Counts the links to peers, and measures how old the loads of the peers are. */
final class PeerLinkMetrics {

  private final MetricRegistry registry;
  private volatile int connectedPeers;
  private volatile Duration oldestLoad = Duration.ZERO;

  PeerLinkMetrics(MetricRegistry registry) {
    this.registry = registry;
    registry.register("peers.connected", (Gauge<Integer>) () -> connectedPeers);
    registry.register("peers.oldestLoadMillis", (Gauge<Long>) () -> oldestLoad.toMillis());
  }

  void recordOpened() {
    registry.counter("links.opened").inc();
  }

  void recordClosed(CloseReason reason) {
    registry.counter(MetricName.of("links.closed", "reason", reason.text())).inc();
  }

  /**
   * Records the state of the peers.
   *
   * @param connected the number of connected peers
   * @param oldest the age of the oldest load of these
   */
  void update(int connected, Duration oldest) {
    connectedPeers = connected;
    oldestLoad = oldest;
  }
}
