package org.wigeonstage.gateway;

import com.google.common.base.Suppliers;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.function.Supplier;
import org.wigeonstage.capacity.SpeedReport;
import org.wigeonstage.crash.CrashReport;
import org.wigeonstage.fleet.StoreEra;
import org.wigeonstage.handover.Message;
import org.wigeonstage.wire.EncodedMessage;
import org.wigeonstage.wire.Link;

/**
 * Sends what this gateway has found out to its peers: crashes, leaving and slow servers, and the
 * era of the store. Loads are sent by {@link PeerSynchronizer}. Guarded by the lock of {@link
 * GatewayCore}.
 */
final class PeerNotifications {

  /** All crashes that count are repeated at this interval, in case a peer has missed some. */
  private static final Duration CRASH_REPORT_INTERVAL = Duration.ofSeconds(10);

  private final GatewayCore core;
  private final StoreEra storeEra;
  private Duration crashReportsRepeatAt = Duration.ZERO;

  PeerNotifications(GatewayCore core, StoreEra storeEra) {
    this.core = core;
    this.storeEra = storeEra;
  }

  /** Sends what is new to each connected peer, and what is known to those on new links. */
  void send(Collection<PeerState> peers, Duration now) {
    sendCrashReports(peers, now);
    sendLeavingServers(peers);
    sendServerSpeeds(peers, now);
    sendStoreEra(peers);
  }

  /** Sends own observations of crashes at once, and at times all that are known. */
  private void sendCrashReports(Collection<PeerState> peers, Duration now) {
    List<EncodedMessage> changes = encoded(core.promptHolds().takeOwnChanges());
    Supplier<List<EncodedMessage>> fullReports =
        Suppliers.memoize(() -> encoded(core.promptHolds().fullReports()));
    boolean mustRepeat = now.compareTo(crashReportsRepeatAt) >= 0;
    if (mustRepeat) {
      crashReportsRepeatAt = now.plus(CRASH_REPORT_INTERVAL);
    }
    for (PeerState peer : peers) {
      Link link = peer.preferredLink();
      if (!mustRepeat && changes.isEmpty() && peer.crashReportLink == link) {
        continue;
      }
      if (link != null && link.peerHello().configVersion() >= Message.CRASH_REPORTS) {
        if (mustRepeat || peer.crashReportLink != link) {
          peer.crashReportLink = link;
          fullReports.get().forEach(link::send);
        }
        changes.forEach(link::send);
      }
    }
  }

  private static List<EncodedMessage> encoded(List<CrashReport> reports) {
    return reports.stream().map(report -> EncodedMessage.of(new Message.Crash(report))).toList();
  }

  /** Sends own observations of leaving servers at once, and on a new link all that are known. */
  private void sendLeavingServers(Collection<PeerState> peers) {
    List<Message.ServerLeaving> unreported = core.knownServers().takeUnreported();
    for (PeerState peer : peers) {
      Link link = peer.preferredLink();
      if (unreported.isEmpty() && peer.leavingServersLink == link) {
        continue;
      }
      if (link != null && link.peerHello().configVersion() >= Message.LEAVING_SERVERS) {
        boolean isNewLink = peer.leavingServersLink != link;
        peer.leavingServersLink = link;
        (isNewLink ? core.knownServers().announcements() : unreported).forEach(link::send);
      }
    }
  }

  /** Sends which servers have slowed down, are still slow, or have recovered. */
  private void sendServerSpeeds(Collection<PeerState> peers, Duration now) {
    List<SpeedReport> reports = core.capacities().takeReports(now);
    if (reports.isEmpty()) {
      return;
    }
    EncodedMessage message = EncodedMessage.of(new Message.ServerSpeeds(reports));
    for (PeerState peer : peers) {
      Link link = peer.preferredLink();
      if (link != null && link.peerHello().configVersion() >= Message.SERVER_SPEEDS) {
        link.send(message);
      }
    }
  }

  /** Sends the highest era of the store that was seen, once on each link. */
  private void sendStoreEra(Collection<PeerState> peers) {
    long era = storeEra.highest();
    for (PeerState peer : peers) {
      Link link = peer.preferredLink();
      if (link != null
          && era > 0
          && link.peerHello().configVersion() >= Message.STORE_ERAS
          && (peer.storeEraLink != link || peer.reportedStoreEra < era)) {
        peer.storeEraLink = link;
        peer.reportedStoreEra = era;
        link.send(new Message.StoreEra(era));
      }
    }
  }
}
