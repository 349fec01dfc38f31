package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.fleet.Peer;
import org.wigeonstage.handover.Message;
import org.wigeonstage.quota.AccountQuotas;
import org.wigeonstage.quota.PeerUsage;
import org.wigeonstage.wire.Link;

/** What is known of another gateway. */
final class PeerState {

  final PeerUsage use;
  @Nullable Peer peer;
  @Nullable Link link;
  Message.GatewayLoad load =
      new Message.GatewayLoad(true, Map.of(), List.of(), Map.of(), Map.of(), Map.of());
  Duration heardAt;
  Duration attemptedAt = Duration.ZERO;

  PeerState(AccountQuotas quotas, long ownIncarnation, Duration now) {
    this.use = new PeerUsage(quotas, ownIncarnation, now);
    this.heardAt = now;
  }

  Duration silence(Duration now) {
    return now.minus(heardAt);
  }
}
