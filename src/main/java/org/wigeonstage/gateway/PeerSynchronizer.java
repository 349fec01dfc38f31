package org.wigeonstage.gateway;

import com.codahale.metrics.MetricRegistry;
import com.google.common.base.Suppliers;
import com.google.common.collect.Comparators;
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
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import org.wigeonstage.common.ClockReader;
import org.wigeonstage.common.ControlExecutors;
import org.wigeonstage.common.RepeatedTask;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.fleet.FleetStore;
import org.wigeonstage.fleet.GatewayRegistration;
import org.wigeonstage.handover.LoadChanges;
import org.wigeonstage.handover.Message;
import org.wigeonstage.handover.WaitingCount;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.peering.CloseReason;
import org.wigeonstage.peering.GatewayRun;
import org.wigeonstage.peering.PeerLinks;
import org.wigeonstage.routing.RendezvousHash;
import org.wigeonstage.settings.GatewaySettings;
import org.wigeonstage.telemetry.DecisionLog;
import org.wigeonstage.wire.EncodedMessage;
import org.wigeonstage.wire.Link;
import org.wigeonstage.wire.LinkConnector;
import org.wigeonstage.wire.LinkListener;
import org.wigeonstage.wire.LinkOptions;
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

  /** A registered gateway that reports nothing for this long is considered removed for good. */
  private static final Duration PEER_EXPIRY = Duration.ofSeconds(30);

  /** Interval between complete reports of crashes, for peers that missed reports. */
  private static final Duration REGISTER_INTERVAL = Duration.ofSeconds(1);

  private static final long LIST_INTERVAL_MILLIS = 5000;

  private final String name;
  private final FleetStore store;
  private final GatewayCore core;
  private final StoreRestores restores;
  private final long incarnation = System.currentTimeMillis();
  private final Closer closer = Closer.create();
  private final LinkConnector connector;
  private final Endpoint endpoint;
  private final ScheduledExecutorService storeExecutor =
      ControlExecutors.newSingleThreadExecutor("peer-calls");
  private final Map<String, PeerState> peers = new HashMap<>();
  private final PeerLinkMetrics metrics;
  private final PendingLinks pendingLinks;
  private final SplittableRandom random;
  private final PeerLoadSums loadSums = new PeerLoadSums();
  private final RolloutLinks rolloutLinks;
  private final PeerNotifications notifications;
  private final ConfigurationLinks configurationLinks;

  /**
   * Names of peers that expired. Registrations outlive their gateways, so an expired peer counts
   * again only after it has opened a link.
   */
  private final Set<String> expired = new HashSet<>();

  private Message.GatewayLoad lastLoad =
      new Message.GatewayLoad(true, false, Map.of(), List.of(), Map.of(), Map.of(), Map.of());
  private Duration lastSentAt = Duration.ZERO;
  private boolean arePeersListed;
  private volatile boolean registered;
  private volatile long registeredEra;
  private volatile long listedEra;
  private volatile long lastListedAtMillis;

  PeerSynchronizer(
      GatewaySettings settings,
      FleetStore store,
      GatewayCore core,
      ConfigurationState configuration,
      ClockReader clocks,
      StoreRestores restores,
      MetricRegistry metrics) {
    this.name = settings.name();
    this.store = store;
    this.core = core;
    this.restores = restores;
    this.metrics = new PeerLinkMetrics(metrics);
    this.pendingLinks = new PendingLinks(this.metrics);
    this.rolloutLinks = new RolloutLinks(name, peers);
    this.notifications = new PeerNotifications(core, store.era());
    this.random = new SplittableRandom(Objects.hash(name, incarnation));
    this.configurationLinks =
        new ConfigurationLinks(
            peers,
            core,
            configuration,
            new ConfigurationExchange(configuration, clocks, random.split()),
            store.era());
    core.promptHolds().setOwnTurn(this::isOwnTurn);
    this.connector =
        closer.register(LinkConnector.start(this::hello, this, metrics, LinkOptions.REPORTS));
    this.endpoint =
        closer
            .register(
                LinkServer.start(
                    Endpoint.parse(settings.peers()),
                    this::hello,
                    this,
                    metrics,
                    LinkOptions.REPORTS))
            .endpoint();
  }

  private Message.Hello hello() {
    return new Message.Hello(
        Message.PROTOCOL_VERSION, ROLE, name, incarnation, Message.CONFIGURATIONS);
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
      // The era that was known before the call: the registration may be lost if it rises meanwhile.
      long era = store.era().highest();
      if (!registered || registeredEra < era) {
        store.register(new GatewayRegistration(name, endpoint));
        registered = true;
        registeredEra = era;
        restores.done(StoreRestores.Part.REGISTRATION, era);
        DecisionLog.write("registered", "address", endpoint.toString());
      }
    } catch (WigeonstageException e) {
      DecisionLog.write("not-registered", "error", String.valueOf(e.getMessage()));
    }
  }

  private void listPeers() {
    try {
      long now = core.now().toMillis();
      long era = store.era().highest();
      boolean isRestored = listedEra < era;
      if (now - lastListedAtMillis >= LIST_INTERVAL_MILLIS
          || lastListedAtMillis == 0
          || isRestored) {
        // Quotas depend on the first list, which must contain all gateways.
        boolean isFirst = lastListedAtMillis == 0;
        List<GatewayRegistration> listed =
            isFirst || isRestored ? store.readGateways() : store.readRecentGateways();
        lastListedAtMillis = now;
        listedEra = era;
        restores.done(StoreRestores.Part.GATEWAYS, era, "gateways", listed.size());
        core.withLock(
            () -> {
              // Gateways in the first list have registered before, so they started earlier.
              listed.forEach(registration -> addPeer(registration, isFirst));
              arePeersListed = true;
              core.quotas().markGatewaysListed();
            });
      }
    } catch (WigeonstageException e) {
      DecisionLog.write("peers-unknown", "error", String.valueOf(e.getMessage()));
    }
  }

  private void addPeer(GatewayRegistration registration, boolean startedLater) {
    if (!registration.name().equals(name) && !expired.contains(registration.name())) {
      state(registration.name(), startedLater).registration = registration;
    }
  }

  private PeerState state(String peerName, boolean startedLater) {
    return peers.computeIfAbsent(
        peerName,
        key ->
            new PeerState(core.quotas(), incarnation, createLinks(key, startedLater), core.now()));
  }

  private PeerLinks<Link> createLinks(String peerName, boolean startedLater) {
    return new PeerLinks<>(
        new GatewayRun(name, incarnation),
        startedLater,
        new PeerLinkActions(peerName, metrics, () -> dial(peerName)),
        random,
        core.now());
  }

  private void dial(String peerName) {
    PeerState peer = peers.get(peerName);
    GatewayRegistration registration = peer == null ? null : peer.registration;
    if (peer != null && registration != null) {
      connector.connect(
          registration.address(), cause -> core.withLock(() -> connectFailed(peer, cause)));
    }
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
   * Sends load reports, maintains the links, and applies the loads of the peers and the assumed
   * usage of unresponsive ones.
   */
  void tick() {
    Duration now = core.now();
    peers.entrySet().removeIf(entry -> isExpired(entry.getValue(), now) && expire(entry, now));
    core.updateGatewayCount(1 + peers.size());
    notifications.send(peers.values(), now);
    configurationLinks.tick(arePeersListed, now);
    if (now.minus(lastSentAt).compareTo(REPORT_INTERVAL) >= 0) {
      lastSentAt = now;
      reportLoad(now);
      updateMetrics(now);
    }
    applyPeerLoads(now);
    pendingLinks.tick(now);
    core.rollouts().tick(rolloutLinks, now);
  }

  private void updateMetrics(Duration now) {
    int connected = 0;
    Duration oldest = Duration.ZERO;
    for (PeerState peer : peers.values()) {
      if (peer.links.preferred().isPresent()) {
        connected++;
        oldest = Comparators.max(oldest, peer.sinceLastReport(now));
      }
    }
    metrics.update(connected, oldest);
  }

  private void reportLoad(Duration now) {
    Message.GatewayLoad load = core.load();
    EncodedMessage changes = EncodedMessage.of(LoadChanges.between(lastLoad, load));
    Supplier<EncodedMessage> complete = Suppliers.memoize(() -> EncodedMessage.of(load));
    lastLoad = load;
    // Closing a link reports it at once, which may add the state of a peer.
    Map.copyOf(peers)
        .forEach(
            (peerName, peer) ->
                RepeatedTask.runPart(
                    "exchange with " + peerName, () -> synchronize(peer, complete, changes, now)));
  }

  /** Returns whether a turn, of which each belongs to one connected gateway, is this gateway's. */
  private boolean isOwnTurn(String turn) {
    List<String> connected = new ArrayList<>(List.of(name));
    peers.forEach(
        (peerName, peer) -> {
          if (peer.links.preferred().isPresent()) {
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
    peer.links.abandon(now);
    loadSums.replace(peer.includedRunning, Map.of());
    return expired.add(entry.getKey());
  }

  /** Maintains the links to a peer, and sends the load to it. */
  private void synchronize(
      PeerState peer, Supplier<EncodedMessage> complete, EncodedMessage changes, Duration now) {
    peer.usage.tick(core.gatewayCount(), now);
    peer.links.tick(peer.registration != null, now);
    peer.links.preferred().ifPresent(link -> report(peer, link, complete, changes, now));
  }

  /** Sends the changes to the previous load, or the complete load if the peer lacks that one. */
  private static void report(
      PeerState peer,
      Link link,
      Supplier<EncodedMessage> complete,
      EncodedMessage changes,
      Duration now) {
    boolean hasPreviousLoad = peer.reportedLink == link;
    peer.reportedLink = null;
    if (hasPreviousLoad && now.compareTo(peer.completeReportAt) < 0) {
      link.send(changes);
    } else {
      link.send(complete.get());
      peer.completeReportAt = now.plus(COMPLETE_REPORT_INTERVAL);
    }
    peer.reportedLink = link;
  }

  /** Records that a peer is stopped if the connection was refused: no process listens there. */
  private void connectFailed(PeerState peer, Throwable cause) {
    String message = String.valueOf(cause.getMessage());
    if (cause instanceof ConnectException && message.contains("refused")) {
      peer.usage.markStopped(core.now());
      peer.isStopped = true;
    }
  }

  /**
   * Sums up the running and waiting requests that were last reported by the peers whose usage is
   * known. This includes stopped peers, with their last report before they stopped. Done between
   * own reports, too: the older the loads, the more gateways start requests in the same slot.
   */
  private void applyPeerLoads(Duration now) {
    List<WaitingCount> waiting = new ArrayList<>();
    boolean hasNonLeavingPeer = false;
    for (PeerState peer : peers.values()) {
      boolean isKnown = peer.usage.isUsageKnown(now);
      hasNonLeavingPeer |= isKnown && !peer.load.isLeaving();
      Map<String, Integer> running = isKnown ? peer.load.runningByServer() : Map.of();
      loadSums.replace(peer.includedRunning, running);
      peer.includedRunning = running;
      if (isKnown) {
        waiting.addAll(peer.load.waiting());
      }
    }
    core.applyPeerLoad(loadSums.runningByServer(), waiting, hasNonLeavingPeer);
  }

  @Override
  public void connected(Link link) {
    core.withLock(() -> pendingLinks.add(link, core.now()));
  }

  @Override
  public void opened(Link link) {
    core.withLock(() -> accept(link));
  }

  private void accept(Link link) {
    pendingLinks.remove(link);
    metrics.recordOpened();
    Message.Hello hello = link.peerHello();
    GatewayRun run = new GatewayRun(hello.name(), hello.incarnation());
    if (!hello.role().equals(ROLE)) {
      refuse(link, run, CloseReason.OTHER_ROLE);
    } else if (hello.name().equals(name)) {
      refuse(link, run, CloseReason.OWN_NAME);
    } else {
      expired.remove(hello.name());
      boolean isRuleShared = hello.configVersion() >= Message.LINK_CHOICE;
      state(hello.name(), false)
          .links
          .opened(link, run, link.isDialled(), isRuleShared, core.now());
    }
  }

  /** Refuses a link that can't be one of a peer. */
  private void refuse(Link link, GatewayRun run, CloseReason reason) {
    PeerLinkActions actions = new PeerLinkActions(run.name(), metrics, () -> {});
    actions.refused(run, reason, false);
    actions.closed(reason);
    actions.close(link);
  }

  @Override
  public void received(Link link, Message message) {
    core.withLock(
        () -> {
          PeerState peer = peers.get(link.peerHello().name());
          if (peer != null && link.peerHello().role().equals(ROLE)) {
            apply(peer, link, message);
          }
        });
  }

  private void apply(PeerState peer, Link link, Message message) {
    if (message instanceof Message.LinkClosing closing) {
      peer.links.peerClosing(link, CloseReason.of(closing.reason()), core.now());
      return;
    }
    peer.links.received(link, core.now());
    if (message instanceof Message.GatewayLoad load) {
      applyReport(peer, link, load);
    } else if (message instanceof Message.Crash crash) {
      core.promptHolds().applyReport(crash.report(), link.peerHello().name());
    } else if (message instanceof Message.ServerLeaving leaving) {
      core.recordLeaving(leaving.runId(), leaving.age(), link.peerHello().name());
    } else if (message instanceof Message.RolloutStatus status) {
      core.rollouts().applyReport(link.peerHello().name(), status.report(), core.now());
    } else if (message instanceof Message.RolloutCommand command) {
      core.rollouts().applyDirective(command.directive(), core.now());
    } else if (message instanceof Message.ServerSpeeds speeds) {
      core.capacities().applyReports(link.peerHello().name(), speeds.reports(), core.now());
    } else if (message instanceof Message.StoreEra storeEra) {
      store.era().observe(storeEra.era());
    } else if (message instanceof Message.ConfigurationMessage configurationMessage) {
      configurationLinks.received(link.peerHello().name(), link, configurationMessage);
    }
  }

  private void applyReport(PeerState peer, Link link, Message.GatewayLoad load) {
    Duration now = core.now();
    Link preferred = peer.preferredLink();
    if (preferred != null && link != preferred && peer.completeLoadLink == preferred) {
      return; // an earlier load, which arrives late on a superseded link
    }
    if (load.isComplete()) {
      peer.completeLoadLink = link;
    } else if (peer.completeLoadLink != link) {
      return; // changes to a load that was sent on a replaced link
    }
    peer.lastReportAt = now;
    peer.isStopped = false;
    Map<String, Integer> running = peer.load.runningByServer();
    peer.load = LoadChanges.apply(peer.load, load);
    if (!load.isComplete() && peer.includedRunning == running) {
      loadSums.apply(running, load.runningByServer());
      peer.includedRunning = peer.load.runningByServer();
    }
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
          PeerState peer = peers.get(link.peerHello().name());
          if (peer != null) {
            peer.links.closed(link, core.now());
          }
        });
  }

  @Override
  public void close() throws IOException {
    storeExecutor.shutdownNow();
    closer.close();
  }
}
