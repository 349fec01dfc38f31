package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.fleet.Peer;
import org.wigeonstage.quota.AccountQuotas;
import org.wigeonstage.quota.PeerUse;
import org.wigeonstage.wire.Link;

/** What is known of another gateway. */
final class PeerState {

  final PeerUse use;
  @Nullable Peer peer;
  @Nullable Link link;
  Map<String, Integer> running = Map.of();
  Duration heardAt;
  Duration attemptedAt = Duration.ZERO;

  PeerState(AccountQuotas quotas, Duration now) {
    this.use = new PeerUse(quotas, now);
    this.heardAt = now;
  }

  Duration silence(Duration now) {
    return now.minus(heardAt);
  }
}
