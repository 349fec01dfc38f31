package org.wigeonstage.gateway;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.handover.Message;
import org.wigeonstage.wire.EncodedMessage;
import org.wigeonstage.wire.Link;

/**
 * The links to peers on which messages about roll-outs are sent. Guarded by the lock of {@link
 * GatewayCore}.
 */
final class RolloutLinks {

  private final String ownName;
  private final Map<String, PeerState> peers;

  RolloutLinks(String ownName, Map<String, PeerState> peers) {
    this.ownName = ownName;
    this.peers = peers;
  }

  String ownName() {
    return ownName;
  }

  /** Returns the gateways that may send requests to servers, this one included. */
  Set<String> running() {
    Set<String> names = new HashSet<>(Set.of(ownName));
    peers.forEach(
        (name, peer) -> {
          if (!peer.isStopped) {
            names.add(name);
          }
        });
    return names;
  }

  /** Returns the gateways that can take part in roll-outs, this one included. */
  Set<String> connected() {
    Set<String> names = new HashSet<>(Set.of(ownName));
    peers.forEach(
        (name, peer) -> {
          if (link(peer) != null) {
            names.add(name);
          }
        });
    return names;
  }

  private static @Nullable Link link(PeerState peer) {
    Link link = peer.preferredLink();
    return link != null && link.peerHello().configVersion() >= Message.ROLLOUTS ? link : null;
  }

  /** Returns the link to a peer, or null if there is none. */
  @Nullable Link link(String peerName) {
    PeerState peer = peers.get(peerName);
    return peer == null ? null : link(peer);
  }

  void sendToAll(Message message) {
    EncodedMessage encoded = EncodedMessage.of(message);
    for (PeerState peer : peers.values()) {
      Link link = link(peer);
      if (link != null) {
        link.send(encoded);
      }
    }
  }
}
