package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.fleet.GatewayRegistration;
import org.wigeonstage.handover.Message;
import org.wigeonstage.peering.PeerLinks;
import org.wigeonstage.quota.AccountQuotas;
import org.wigeonstage.quota.PeerUsage;
import org.wigeonstage.wire.Link;

/** The latest report of a peer, its registration and the links to it. */
final class PeerState {

  final PeerUsage usage;
  @Nullable GatewayRegistration registration;

  /** The links to the peer, of which reports are sent on the preferred one. */
  final PeerLinks<Link> links;

  /** The link on which the complete load was sent, so that changes to it can follow. */
  @Nullable Link reportedLink;

  /** The link on which the peer has sent its complete load. */
  @Nullable Link completeLoadLink;

  /** The link on which all crashes that count were reported. */
  @Nullable Link crashReportLink;

  /** The link on which all announcements of leaving servers were reported. */
  @Nullable Link leavingServersLink;

  /** The link on which the era of the store was reported, and the era. */
  @Nullable Link storeEraLink;

  long reportedStoreEra;

  /** The link on which the configuration in force was reported, and the report. */
  @Nullable Link configurationLink;

  Message.@Nullable ConfigurationKnown reportedConfiguration;

  /** When the complete load is sent again. */
  Duration completeReportAt = Duration.ZERO;

  /**
   * The load as of the latest report; until the first one, the peer counts as leaving and without
   * load.
   */
  Message.GatewayLoad load =
      new Message.GatewayLoad(true, true, Map.of(), List.of(), Map.of(), Map.of(), Map.of());

  /** The running requests that the sums of the peers' loads include for this peer. */
  Map<String, Integer> includedRunning = Map.of();

  Duration lastReportAt;

  /** Whether its port refuses connections, which shows that it does not run. */
  boolean isStopped;

  PeerState(AccountQuotas quotas, long ownIncarnation, PeerLinks<Link> links, Duration now) {
    this.links = links;
    this.usage = new PeerUsage(quotas, ownIncarnation, now);
    this.lastReportAt = now;
  }

  /** Returns the link to send on, or null if there is none. */
  @Nullable Link preferredLink() {
    return links.preferred().orElse(null);
  }

  Duration sinceLastReport(Duration now) {
    return now.minus(lastReportAt);
  }
}
