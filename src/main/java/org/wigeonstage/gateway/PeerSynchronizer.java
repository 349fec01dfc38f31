package org.wigeonstage.gateway;

import com.codahale.metrics.MetricRegistry;
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
import java.util.concurrent.TimeUnit;
import org.wigeonstage.common.ControlExecutors;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.fleet.FleetStore;
import org.wigeonstage.fleet.Peer;
import org.wigeonstage.handover.Message;
import org.wigeonstage.handover.WaitingCount;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.telemetry.DecisionLog;
import org.wigeonstage.wire.Link;
import org.wigeonstage.wire.LinkConnector;
import org.wigeonstage.wire.LinkListener;
import org.wigeonstage.wire.LinkServer;

/**
 * Tells the other gateways what this one runs and uses, and learns the same from them. Gateways
 * find each other in the store. State belongs to whoever holds the core's lock.
 */
final class PeerSynchronizer implements Closeable, LinkListener {

  private static final String ROLE = "gateway";

  /** How often loads are sent: a few times in the time that a short request takes. */
  private static final Duration SEND_INTERVAL = Duration.ofMillis(50);

  private static final Duration RECONNECT_INTERVAL = Duration.ofMillis(500);

  /** A link that is silent for so long is replaced. */
  private static final Duration LINK_SILENCE = Duration.ofMillis(800);

  /** A registered gateway that was not heard for so long is taken as gone for good. */
  private static final Duration FORGET_AFTER = Duration.ofSeconds(30);

  private static final long REGISTER_INTERVAL_MILLIS = 1000;
  private static final long LIST_INTERVAL_MILLIS = 5000;

  private final String name;
  private final Endpoint listen;
  private final FleetStore store;
  private final GatewayCore core;
  private final long incarnation = System.currentTimeMillis();
  private final Closer closer = Closer.create();
  private final LinkConnector connector;
  private final ScheduledExecutorService storeCalls = ControlExecutors.newSingleThreadExecutor("peer-calls");
  private final Map<String, PeerState> peers = new HashMap<>();

  /** Registrations outlive their gateways; one that was silent for long must call first. */
  private final Set<String> forgotten = new HashSet<>();

  private Duration sentAt = Duration.ZERO;
  private volatile boolean registered;
  private volatile long lastListMillis;

  PeerSynchronizer(
      String name, Endpoint listen, FleetStore store, GatewayCore core, MetricRegistry metrics) {
    this.name = name;
    this.listen = listen;
    this.store = store;
    this.core = core;
    this.connector = closer.register(LinkConnector.start(this::greeting, this, metrics));
    closer.register(LinkServer.start(listen, this::greeting, this, metrics));
  }

  private Message.Hello greeting() {
    return new Message.Hello(Message.PROTOCOL_VERSION, ROLE, name, incarnation, 0);
  }

  void start() {
    storeCalls.scheduleWithFixedDelay(
        this::registerAndList, 0, REGISTER_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void registerAndList() {
    try {
      if (!registered) {
        store.register(new Peer(name, listen.toString()));
        registered = true;
        DecisionLog.write("registered", "address", listen.toString());
      }
    } catch (WigeonstageException e) {
      DecisionLog.write("not-registered", "error", String.valueOf(e.getMessage()));
    }
    list();
  }

  private void list() {
    try {
      long now = core.now().toMillis();
      if (now - lastListMillis >= LIST_INTERVAL_MILLIS || lastListMillis == 0) {
        List<Peer> listed = store.readPeers();
        lastListMillis = now;
        core.run(
            () -> {
              listed.forEach(this::learn);
              core.quotas().markGatewaysListed();
            });
      }
    } catch (WigeonstageException e) {
      DecisionLog.write("peers-unknown", "error", String.valueOf(e.getMessage()));
    }
  }

  private void learn(Peer peer) {
    if (!peer.name().equals(name) && !forgotten.contains(peer.name())) {
      state(peer.name()).peer = peer;
    }
  }

  private PeerState state(String peer) {
    return peers.computeIfAbsent(
        peer, key -> new PeerState(core.quotas(), incarnation, core.now()));
  }

  /** Returns the number of gateways that were heard lately. */
  int heardCount() {
    int[] count = {0};
    core.run(
        () -> {
          Duration now = core.now();
          count[0] = (int) peers.values().stream().filter(peer -> peer.use.isResponsive(now)).count();
        });
    return count[0];
  }

  /** Sends loads, replaces silent links and takes shares for silent peers. */
  void tick() {
    Duration now = core.now();
    peers.entrySet().removeIf(entry -> isGone(entry.getValue(), now) && forget(entry, now));
    core.gateways(1 + peers.size());
    if (now.minus(sentAt).compareTo(SEND_INTERVAL) < 0) {
      return;
    }
    sentAt = now;
    Message.GatewayLoad load = core.load();
    for (PeerState peer : peers.values()) {
      maintain(peer, load, now);
    }
    publishLoads(now);
  }

  private static boolean isGone(PeerState peer, Duration now) {
    return peer.silence(now).compareTo(FORGET_AFTER) > 0;
  }

  private boolean forget(Map.Entry<String, PeerState> entry, Duration now) {
    entry.getValue().use.forget(now);
    return forgotten.add(entry.getKey());
  }

  private void maintain(PeerState peer, Message.GatewayLoad load, Duration now) {
    peer.use.tick(core.gateways(), now);
    Link link = peer.link;
    if (link != null && link.timeSinceLastMessage().compareTo(LINK_SILENCE) > 0) {
      peer.link = null;
      link.close();
    } else if (link != null) {
      link.send(load);
      return;
    }
    Peer target = peer.peer;
    if (target != null && now.minus(peer.attemptedAt).compareTo(RECONNECT_INTERVAL) > 0) {
      peer.attemptedAt = now;
      connector.connect(
          Endpoint.parse(target.address()), cause -> core.run(() -> failed(peer, cause)));
    }
  }

  /** A refused connection shows that no process listens there. */
  private void failed(PeerState peer, Throwable cause) {
    String text = String.valueOf(cause.getMessage());
    if (cause instanceof ConnectException && text.contains("refused")) {
      peer.use.markStopped(core.now());
    }
  }

  /** Sums up what runs and waits at the others. */
  private void publishLoads(Duration now) {
    Map<String, Integer> running = new HashMap<>();
    List<WaitingCount> waiting = new ArrayList<>();
    for (PeerState peer : peers.values()) {
      if (peer.use.isResponsive(now)) {
        peer.load.runningByServer().forEach((server, count) -> running.merge(server, count, Integer::sum));
        waiting.addAll(peer.load.waiting());
      }
    }
    boolean othersStay =
        peers.values().stream().anyMatch(peer -> peer.use.isResponsive(now) && !peer.load.isLeaving());
    core.loadElsewhere(running, waiting, othersStay);
  }

  @Override
  public void opened(Link link) {
    core.run(
        () -> {
          if (link.peerHello().role().equals(ROLE)) {
            forgotten.remove(link.peerHello().name());
            state(link.peerHello().name()).link = link;
            DecisionLog.write("peer-connected", "peer", link.peerHello().name());
          }
        });
  }

  @Override
  public void received(Link link, Message message) {
    if (message instanceof Message.GatewayLoad load) {
      core.run(() -> take(link, load));
    }
  }

  private void take(Link link, Message.GatewayLoad load) {
    Duration now = core.now();
    PeerState peer = state(link.peerHello().name());
    peer.heardAt = now;
    peer.load = load;
    peer.use.applyReport(
        link.peerHello().incarnation(), load.totalUsage(), load.recentUsage(), load.burstUsed(), now);
  }

  @Override
  public void closed(Link link) {
    core.run(
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
    storeCalls.shutdownNow();
    closer.close();
  }
}
