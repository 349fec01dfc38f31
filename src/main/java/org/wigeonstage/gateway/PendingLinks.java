package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.wigeonstage.peering.CloseReason;
import org.wigeonstage.telemetry.DecisionLog;
import org.wigeonstage.wire.Link;

/** Connections on which the hello message of the other end is missing. Not thread-safe. */
final class PendingLinks {

  /** A link without a hello message after this time is closed. */
  static final Duration HELLO_TIMEOUT = Duration.ofSeconds(2);

  private final Map<Link, Duration> connectedAt = new HashMap<>();
  private final PeerLinkMetrics metrics;

  PendingLinks(PeerLinkMetrics metrics) {
    this.metrics = metrics;
  }

  void add(Link link, Duration now) {
    connectedAt.put(link, now);
  }

  void remove(Link link) {
    connectedAt.remove(link);
  }

  /** Closes the links that are overdue. */
  void tick(Duration now) {
    connectedAt.keySet().removeIf(link -> !link.isOpen());
    connectedAt
        .entrySet()
        .removeIf(
            entry -> {
              boolean isOverdue = now.minus(entry.getValue()).compareTo(HELLO_TIMEOUT) > 0;
              if (isOverdue) {
                refuse(entry.getKey());
              }
              return isOverdue;
            });
  }

  private void refuse(Link link) {
    DecisionLog.write(
        "link-refused",
        "address",
        link.peerAddress(),
        "reason",
        CloseReason.NO_HELLO.text(),
        "dialled",
        link.isDialled());
    metrics.recordClosed(CloseReason.NO_HELLO);
    link.close();
  }
}
