package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ClockReader;
import org.wigeonstage.common.ClockReading;
import org.wigeonstage.fleet.ConfigurationReport;
import org.wigeonstage.fleet.KnownConfiguration;

/**
 * Decides when a gateway takes the configuration from a peer, and from which one. Peers state which
 * configuration they have in force; one at a time is asked for it if the store's answers don't
 * suffice, which is only the case after a restore.
 *
 * <p>Not thread-safe.
 */
final class ConfigurationExchange {

  /**
   * The maximum time for which a gateway that has started waits for its peers. Registrations
   * outlive their gateways, so some may never answer.
   */
  static final Duration MAX_JOIN_TIME = Duration.ofSeconds(3);

  /** The time after which another peer is asked. */
  static final Duration REQUEST_TIMEOUT = Duration.ofMillis(300);

  private final ConfigurationState configuration;
  private final ClockReader clocks;
  private final SplittableRandom random;
  private final Map<String, Optional<KnownConfiguration>> knownByPeer = new TreeMap<>();
  private @Nullable Request pending;
  private @Nullable ClockReading requestedAt;
  private @Nullable Duration joinStartedAt;
  private long requestCount;

  /**
   * A request for the configuration of a peer.
   *
   * @param peer the name of the peer
   * @param id identifies the request
   * @param heldVersion the version that is held, or -1 if there is none
   * @param sentAt when it was sent
   */
  record Request(String peer, long id, long heldVersion, Duration sentAt) {}

  ConfigurationExchange(
      ConfigurationState configuration, ClockReader clocks, SplittableRandom random) {
    this.configuration = configuration;
    this.clocks = clocks;
    this.random = random;
  }

  /**
   * Records which configuration a connected peer has in force, or that it has none yet.
   *
   * @return whether the configuration in force here has changed
   */
  boolean recordKnown(String peer, Optional<KnownConfiguration> known) {
    knownByPeer.put(peer, known);
    return known.isPresent() && configuration.recordKnown(known.get());
  }

  /**
   * Forgets peers that have expired. What a peer has stated stays true while it is not connected,
   * and may arrive before its link is preferred.
   */
  void retain(Set<String> peers) {
    knownByPeer.keySet().retainAll(peers);
  }

  boolean hasHeard(String peer) {
    return knownByPeer.containsKey(peer);
  }

  /**
   * Applies what the peers have in force.
   *
   * @param isEachPeerHeard whether each registered peer has stated its configuration, or can't
   * @return whether the configuration in force here has changed
   */
  boolean update(boolean isEachPeerHeard, Duration now) {
    if (!configuration.awaitsPeers()) {
      return false;
    }
    boolean isChanged = false;
    for (Optional<KnownConfiguration> known : knownByPeer.values()) {
      isChanged |= known.isPresent() && configuration.recordKnown(known.get());
    }
    if (!configuration.isJoining()) {
      return isChanged;
    }
    Duration startedAt = joinStartedAt == null ? now : joinStartedAt;
    joinStartedAt = startedAt;
    boolean isAlone = isEachPeerHeard && knownByPeer.values().stream().allMatch(Optional::isEmpty);
    boolean isTimedOut = now.minus(startedAt).compareTo(MAX_JOIN_TIME) >= 0;
    return (isAlone || isTimedOut) && configuration.endJoin() || isChanged;
  }

  /**
   * Returns the request to send now, if any.
   *
   * @param connectedPeers the names of the peers that can be asked
   * @param now the current time
   */
  Optional<Request> nextRequest(Set<String> connectedPeers, Duration now) {
    Request last = pending;
    boolean isAwaited =
        last != null
            && connectedPeers.contains(last.peer())
            && now.minus(last.sentAt()).compareTo(REQUEST_TIMEOUT) < 0;
    if (isAwaited || !configuration.needsReport()) {
      return Optional.empty();
    }
    List<String> candidates = newestPeers(connectedPeers);
    if (last != null && candidates.size() > 1) {
      candidates.remove(last.peer());
    }
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    String peer = candidates.get(random.nextInt(candidates.size()));
    Request request = new Request(peer, ++requestCount, configuration.heldVersion(), now);
    pending = request;
    requestedAt = clocks.read();
    return Optional.of(request);
  }

  /**
   * Returns the connected peers with the latest configuration; among those, the ones with the
   * latest era.
   */
  private List<String> newestPeers(Set<String> connectedPeers) {
    List<String> newest = new ArrayList<>();
    long version = Long.MIN_VALUE;
    long era = Long.MIN_VALUE;
    for (Map.Entry<String, Optional<KnownConfiguration>> entry : knownByPeer.entrySet()) {
      if (entry.getValue().isEmpty() || !connectedPeers.contains(entry.getKey())) {
        continue;
      }
      KnownConfiguration known = entry.getValue().get();
      if (known.tableVersion() > version
          || (known.tableVersion() == version && known.settledEra() > era)) {
        newest.clear();
        version = known.tableVersion();
        era = known.settledEra();
      }
      if (known.tableVersion() == version && known.settledEra() == era) {
        newest.add(entry.getKey());
      }
    }
    return newest;
  }

  /**
   * Applies the answer of a peer.
   *
   * @return whether the configuration in force here has changed
   */
  boolean applyReply(String peer, long id, Optional<ConfigurationReport> report) {
    Request request = pending;
    ClockReading sentAt = requestedAt;
    if (request == null || sentAt == null || request.id() != id || !request.peer().equals(peer)) {
      return false;
    }
    return report.isPresent() && configuration.adopt(report.get(), sentAt);
  }
}
