package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.fleet.KnownConfiguration;
import org.wigeonstage.fleet.StoreEra;
import org.wigeonstage.fleet.StoredConfiguration;
import org.wigeonstage.handover.Message;
import org.wigeonstage.telemetry.DecisionLog;
import org.wigeonstage.wire.Link;

/**
 * Exchanges the configuration with the peers, so that a restored store does not revert it. Guarded
 * by the lock of {@link GatewayCore}.
 */
final class ConfigurationLinks {

  private final Map<String, PeerState> peers;
  private final GatewayCore core;
  private final ConfigurationState configuration;
  private final ConfigurationExchange exchange;
  private final StoreEra storeEra;
  private boolean wasJoining;

  ConfigurationLinks(
      Map<String, PeerState> peers,
      GatewayCore core,
      ConfigurationState configuration,
      ConfigurationExchange exchange,
      StoreEra storeEra) {
    this.peers = peers;
    this.core = core;
    this.configuration = configuration;
    this.exchange = exchange;
    this.storeEra = storeEra;
    this.wasJoining = configuration.isJoining();
  }

  /**
   * Sends what is new to the peers, and asks one of them if necessary.
   *
   * @param arePeersListed whether the registrations of all peers are known
   * @param now the current time
   */
  void tick(boolean arePeersListed, Duration now) {
    boolean isJoining = configuration.isJoining();
    if (!isJoining && storeEra.highest() == 0) {
      logJoin();
      return;
    }
    exchange.retain(peers.keySet());
    if (exchange.update(arePeersListed && isJoining && isEachPeerHeard(), now)) {
      applyChanged("peers");
    }
    if (configuration.needsReport()) {
      exchange.nextRequest(connectedPeers(), now).ifPresent(this::send);
    }
    if (storeEra.highest() > 0) {
      sendKnown(configuration.known().orElse(null));
    }
    logJoin();
  }

  private Set<String> connectedPeers() {
    Set<String> connected = new HashSet<>();
    peers.forEach(
        (name, peer) -> {
          if (link(peer) != null) {
            connected.add(name);
          }
        });
    return connected;
  }

  /** Returns whether no further peer can be expected to state its configuration. */
  private boolean isEachPeerHeard() {
    return peers.entrySet().stream()
        .allMatch(
            entry -> {
              Link link = entry.getValue().preferredLink();
              return link == null
                  ? entry.getValue().isStopped
                  : exchange.hasHeard(entry.getKey()) || !readsConfigurations(link);
            });
  }

  private static boolean readsConfigurations(Link link) {
    return link.peerHello().configVersion() >= Message.CONFIGURATIONS;
  }

  private static @Nullable Link link(PeerState peer) {
    Link link = peer.preferredLink();
    return link != null && readsConfigurations(link) ? link : null;
  }

  private void send(ConfigurationExchange.Request request) {
    PeerState peer = peers.get(request.peer());
    Link link = peer == null ? null : link(peer);
    if (link != null) {
      link.send(new Message.ConfigurationRequest(request.id(), request.heldVersion()));
    }
  }

  /** Sends which configuration is in force, once on each link and after each change. */
  private void sendKnown(@Nullable KnownConfiguration known) {
    Message.ConfigurationKnown message = new Message.ConfigurationKnown(known);
    for (PeerState peer : peers.values()) {
      Link link = link(peer);
      if (link != null
          && (peer.configurationLink != link || !message.equals(peer.reportedConfiguration))) {
        peer.configurationLink = link;
        peer.reportedConfiguration = message;
        link.send(message);
      }
    }
  }

  private void logJoin() {
    if (wasJoining && !configuration.isJoining()) {
      wasJoining = false;
      DecisionLog.write(
          "configuration-joined",
          "peers",
          peers.size(),
          "version",
          configuration.heldVersion(),
          "isFresh",
          configuration.isFresh());
    }
  }

  /** Applies a message of a peer. */
  void received(String peerName, Link link, Message.ConfigurationMessage message) {
    if (message instanceof Message.ConfigurationKnown known) {
      if (exchange.recordKnown(peerName, Optional.ofNullable(known.known()))) {
        applyChanged(peerName);
      }
    } else if (message instanceof Message.ConfigurationRequest request) {
      link.send(
          new Message.ConfigurationReply(
              request.id(), configuration.report(request.heldVersion()).orElse(null)));
    } else if (message instanceof Message.ConfigurationReply reply
        && exchange.applyReply(peerName, reply.id(), Optional.ofNullable(reply.report()))) {
      applyChanged(peerName);
    }
  }

  private void applyChanged(String source) {
    configuration.current().map(StoredConfiguration::table).ifPresent(core::applyConfiguration);
    DecisionLog.write(
        "configuration-adopted",
        "source",
        source,
        "version",
        configuration.heldVersion(),
        "ageMillis",
        configuration.age().map(Duration::toMillis).orElse(0L));
  }
}
