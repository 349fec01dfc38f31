package org.wigeonstage.gateway;

import com.codahale.metrics.MetricRegistry;
import com.google.common.base.Suppliers;
import com.google.common.io.Closer;
import java.io.Closeable;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import org.wigeonstage.common.ControlExecutors;
import org.wigeonstage.common.RepeatedTask;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.crash.CrashReport;
import org.wigeonstage.fleet.FleetStore;
import org.wigeonstage.fleet.GatewayRegistration;
import org.wigeonstage.handover.LoadChanges;
import org.wigeonstage.handover.Message;
import org.wigeonstage.handover.WaitingCount;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.routing.RendezvousHash;
import org.wigeonstage.telemetry.DecisionLog;
import org.wigeonstage.wire.EncodedMessage;
import org.wigeonstage.wire.Link;
import org.wigeonstage.wire.LinkConnector;
import org.wigeonstage.wire.LinkListener;
import org.wigeonstage.wire.LinkServer;

/**
 * Exchanges load and quota usage with the peers over links (connections between gateways). Peers
 * are found through their registrations in the store. All state is guarded by the lock of {@link
 * GatewayCore}.
 */
final class PeerSynchronizer implements Closeable, LinkListener {

  private static final String ROLE = "gateway";

  /** Interval between load reports; a short request lasts for several of them. */
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(50);

  /**
   * Interval between complete reports on a link, which carry the recent usage for peers that missed
   * reports.
   */
  private static final Duration COMPLETE_REPORT_INTERVAL = Duration.ofSeconds(2);

  private static final Duration RECONNECT_INTERVAL = Duration.ofMillis(500);

  /** A link on which nothing arrives for this long is replaced. */
  private static final Duration LINK_TIMEOUT = Duration.ofMillis(800);

  /** A registered gateway that reports nothing for this long is considered removed for good. */
  private static final Duration PEER_EXPIRY = Duration.ofSeconds(30);

  /** Interval between complete reports of crashes, for peers that missed reports. */
  private static final Duration CRASH_REPORT_INTERVAL = Duration.ofSeconds(10);

  private static final Duration REGISTER_INTERVAL = Duration.ofSeconds(1);
  private static final long LIST_INTERVAL_MILLIS = 5000;

  private final String name;
  private final FleetStore store;
  private final GatewayCore core;
  private final long incarnation = System.currentTimeMillis();
  private final Closer closer = Closer.create();
  private final LinkConnector connector;
  private final Endpoint endpoint;
  private final ScheduledExecutorService storeExecutor =
      ControlExecutors.newSingleThreadExecutor("peer-calls");
  private final Map<String, PeerState> peers = new HashMap<>();
  private final PeerLoadSums loadSums = new PeerLoadSums();

  /**
   * Names of peers that expired. Registrations outlive their gateways, so an expired peer counts
   * again only after it has opened a link.
   */
  private final Set<String> expired = new HashSet<>();

  private Message.GatewayLoad lastLoad =
      new Message.GatewayLoad(true, false, Map.of(), List.of(), Map.of(), Map.of(), Map.of());
  private Duration lastSentAt = Duration.ZERO;
  private Duration crashReportsRepeatAt = Duration.ZERO;
  private volatile boolean registered;
  private volatile long lastListedAtMillis;

  PeerSynchronizer(
      String name, Endpoint listen, FleetStore store, GatewayCore core, MetricRegistry metrics) {
    this.name = name;
    this.store = store;
    this.core = core;
    core.promptHolds().setOwnTurn(this::isOwnTurn);
    this.connector = closer.register(LinkConnector.start(this::hello, this, metrics));
    this.endpoint =
        closer.register(LinkServer.start(listen, this::hello, this, metrics)).endpoint();
  }

  private Message.Hello hello() {
    return new Message.Hello(
        Message.PROTOCOL_VERSION, ROLE, name, incarnation, Message.LEAVING_SERVERS);
  }

  void start() {
    RepeatedTask.startWithFixedDelay(
        storeExecutor,
        "exchange of registrations",
        Duration.ZERO,
        REGISTER_INTERVAL,
        this::registerAndListPeers);
  }

  private void registerAndListPeers() {
    RepeatedTask.runPart("registration", this::register);
    RepeatedTask.runPart("list of gateways", this::listPeers);
  }

  private void register() {
    try {
      if (!registered) {
        store.register(new GatewayRegistration(name, endpoint));
        registered = true;
        DecisionLog.write("registered", "address", endpoint.toString());
      }
    } catch (WigeonstageException e) {
      DecisionLog.write("not-registered", "error", String.valueOf(e.getMessage()));
    }
  }

  private void listPeers() {
    try {
      long now = core.now().toMillis();
      if (now - lastListedAtMillis >= LIST_INTERVAL_MILLIS || lastListedAtMillis == 0) {
        // Quotas depend on the first list, which must contain all gateways.
        List<GatewayRegistration> listed =
            lastListedAtMillis == 0 ? store.readGateways() : store.readRecentGateways();
        lastListedAtMillis = now;
        core.withLock(
            () -> {
              listed.forEach(this::addPeer);
              core.quotas().markGatewaysListed();
            });
      }
    } catch (WigeonstageException e) {
      DecisionLog.write("peers-unknown", "error", String.valueOf(e.getMessage()));
    }
  }

  private void addPeer(GatewayRegistration registration) {
    if (!registration.name().equals(name) && !expired.contains(registration.name())) {
      state(registration.name()).registration = registration;
    }
  }

  private PeerState state(String peerName) {
    return peers.computeIfAbsent(
        peerName, key -> new PeerState(core.quotas(), incarnation, core.now()));
  }

  /** Returns the number of peers that have reported recently or are stopped. */
  int countPeersWithKnownUsage() {
    int[] count = {0};
    core.withLock(
        () -> {
          Duration now = core.now();
          count[0] =
              (int) peers.values().stream().filter(peer -> peer.usage.isUsageKnown(now)).count();
        });
    return count[0];
  }

  /**
   * Sends load reports, replaces unresponsive links, and applies the loads of the peers and the
   * assumed usage of unresponsive ones.
   */
  void tick() {
    Duration now = core.now();
    peers.entrySet().removeIf(entry -> isExpired(entry.getValue(), now) && expire(entry, now));
    core.updateGatewayCount(1 + peers.size());
    sendCrashReports(now);
    sendLeavingServers();
    if (now.minus(lastSentAt).compareTo(REPORT_INTERVAL) >= 0) {
      lastSentAt = now;
      reportLoad(now);
    }
    applyPeerLoads(now);
  }

  private void reportLoad(Duration now) {
    Message.GatewayLoad load = core.load();
    EncodedMessage changes = EncodedMessage.of(LoadChanges.between(lastLoad, load));
    lastLoad = load;
    // Closing a link reports it at once, which may add the state of a peer.
    Map.copyOf(peers)
        .forEach(
            (peerName, peer) ->
                RepeatedTask.runPart(
                    "exchange with " + peerName, () -> synchronize(peer, load, changes, now)));
  }

  /** Sends own observations of crashes at once, and at times all that are known. */
  private void sendCrashReports(Duration now) {
    List<EncodedMessage> changes = encoded(core.promptHolds().takeOwnChanges());
    Supplier<List<EncodedMessage>> fullReports =
        Suppliers.memoize(() -> encoded(core.promptHolds().fullReports()));
    boolean mustRepeat = now.compareTo(crashReportsRepeatAt) >= 0;
    if (mustRepeat) {
      crashReportsRepeatAt = now.plus(CRASH_REPORT_INTERVAL);
    }
    for (PeerState peer : peers.values()) {
      Link link = peer.link;
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
  private void sendLeavingServers() {
    List<Message.ServerLeaving> unreported = core.knownServers().takeUnreported();
    for (PeerState peer : peers.values()) {
      Link link = peer.link;
      if (link != null && link.peerHello().configVersion() >= Message.LEAVING_SERVERS) {
        boolean isNewLink = peer.leavingServersLink != link;
        peer.leavingServersLink = link;
        (isNewLink ? core.knownServers().announcements() : unreported).forEach(link::send);
      }
    }
  }

  /** Returns whether a turn, of which each belongs to one connected gateway, is this gateway's. */
  private boolean isOwnTurn(String turn) {
    List<String> connected = new ArrayList<>(List.of(name));
    peers.forEach(
        (peerName, peer) -> {
          if (peer.link != null) {
            connected.add(peerName);
          }
        });
    return RendezvousHash.firstChoice(turn, connected).filter(name::equals).isPresent();
  }

  private static boolean isExpired(PeerState peer, Duration now) {
    return peer.sinceLastReport(now).compareTo(PEER_EXPIRY) > 0;
  }

  private boolean expire(Map.Entry<String, PeerState> entry, Duration now) {
    PeerState peer = entry.getValue();
    peer.usage.forget(now);
    loadSums.replace(peer.includedRunning, Map.of());
    return expired.add(entry.getKey());
  }

  /** Sends the load to a peer, or connects to it if there is no working link. */
  private void synchronize(
      PeerState peer, Message.GatewayLoad load, EncodedMessage changes, Duration now) {
    peer.usage.tick(core.gatewayCount(), now);
    Link link = peer.link;
    if (link != null && link.timeSinceLastMessage().compareTo(LINK_TIMEOUT) > 0) {
      peer.link = null;
      link.close();
    } else if (link != null) {
      report(peer, link, load, changes, now);
      return;
    }
    GatewayRegistration registration = peer.registration;
    if (registration != null && now.minus(peer.lastConnectAt).compareTo(RECONNECT_INTERVAL) > 0) {
      peer.lastConnectAt = now;
      connector.connect(
          registration.address(), cause -> core.withLock(() -> connectFailed(peer, cause)));
    }
  }

  /** Sends the changes to the previous load, or the complete load if the peer lacks that one. */
  private static void report(
      PeerState peer, Link link, Message.GatewayLoad load, EncodedMessage changes, Duration now) {
    boolean hasPreviousLoad = peer.reportedLink == link;
    peer.reportedLink = null;
    if (hasPreviousLoad && now.compareTo(peer.completeReportAt) < 0) {
      link.send(changes);
    } else {
      link.send(load);
      peer.completeReportAt = now.plus(COMPLETE_REPORT_INTERVAL);
    }
    peer.reportedLink = link;
  }

  /** Records that a peer is stopped if the connection was refused: no process listens there. */
  private void connectFailed(PeerState peer, Throwable cause) {
    String message = String.valueOf(cause.getMessage());
    if (cause instanceof ConnectException && message.contains("refused")) {
      peer.usage.markStopped(core.now());
    }
  }

  /**
   * Sums up the running and waiting requests that were last reported by the peers whose usage is
   * known. This includes stopped peers, with their last report before they stopped. Done between
   * own reports, too: the older the loads, the more gateways start requests in the same slot.
   */
  private void applyPeerLoads(Duration now) {
    List<WaitingCount> waiting = new ArrayList<>();
    for (PeerState peer : peers.values()) {
      boolean isKnown = peer.usage.isUsageKnown(now);
      Map<String, Integer> running = isKnown ? peer.load.runningByServer() : Map.of();
      loadSums.replace(peer.includedRunning, running);
      peer.includedRunning = running;
      if (isKnown) {
        waiting.addAll(peer.load.waiting());
      }
    }
    boolean hasNonLeavingPeer =
        peers.values().stream()
            .anyMatch(peer -> peer.usage.isUsageKnown(now) && !peer.load.isLeaving());
    core.applyPeerLoad(loadSums.runningByServer(), waiting, hasNonLeavingPeer);
  }

  @Override
  public void opened(Link link) {
    core.withLock(
        () -> {
          if (link.peerHello().role().equals(ROLE)) {
            expired.remove(link.peerHello().name());
            state(link.peerHello().name()).link = link;
            DecisionLog.write("peer-connected", "peer", link.peerHello().name());
          }
        });
  }

  @Override
  public void received(Link link, Message message) {
    if (message instanceof Message.GatewayLoad load) {
      core.withLock(() -> applyReport(link, load));
    } else if (message instanceof Message.Crash crash) {
      core.withLock(() -> core.promptHolds().applyReport(crash.report(), link.peerHello().name()));
    } else if (message instanceof Message.ServerLeaving leaving) {
      core.withLock(
          () -> core.recordLeaving(leaving.runId(), leaving.age(), link.peerHello().name()));
    }
  }

  private void applyReport(Link link, Message.GatewayLoad load) {
    Duration now = core.now();
    PeerState peer = state(link.peerHello().name());
    if (load.isComplete()) {
      peer.completeLoadLink = link;
    } else if (peer.completeLoadLink != link) {
      return; // changes to a load that was sent on a replaced link
    }
    peer.lastReportAt = now;
    peer.load = LoadChanges.apply(peer.load, load);
    peer.usage.applyReport(
        link.peerHello().incarnation(),
        load.totalUsage(),
        load.recentUsage(),
        load.toleratedBurstUsed(),
        now);
  }

  @Override
  public void closed(Link link) {
    core.withLock(
        () -> {
          PeerState peer = state(link.peerHello().name());
          if (peer.link == link) {
            peer.link = null;
            DecisionLog.write("peer-lost", "peer", link.peerHello().name());
          }
        });
  }

  @Override
  public void close() throws IOException {
    storeExecutor.shutdownNow();
    closer.close();
  }
}
