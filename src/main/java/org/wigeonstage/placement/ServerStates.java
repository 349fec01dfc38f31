package org.wigeonstage.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wigeonstage.fleet.BackendServer;

/** The servers of one pool with their estimated states, and which of them can take a request. */
final class ServerStates {

  private static final double NANOS_PER_MILLI = 1e6;

  private final SchedulingLimits limits;
  private final SlotReservations reservations;
  private final Map<String, ServerState> states = new HashMap<>();
  private Map<String, Integer> runningAtPeers = Map.of();

  ServerStates(SchedulingLimits limits, SlotReservations reservations) {
    this.limits = limits;
    this.reservations = reservations;
  }

  /** Replaces the registered servers, and keeps the estimates for those that remain. */
  void applyServers(List<BackendServer> registered) {
    Map<String, BackendServer> byId = new HashMap<>();
    registered.forEach(server -> byId.put(server.id(), server));
    states.values().removeIf(state -> !byId.containsKey(state.server().id()));
    byId.forEach(
        (id, server) -> {
          ServerState state =
              states.computeIfAbsent(id, key -> new ServerState(server, limits, reservations));
          state.applyRegistration(server);
          state.updateRunningAtPeers(runningAtPeers.getOrDefault(id, 0));
        });
  }

  /** Replaces the numbers of requests of peers that run on each server. */
  void applyRunningAtPeers(Map<String, Integer> running) {
    runningAtPeers = Map.copyOf(running);
    states.forEach((id, state) -> state.updateRunningAtPeers(running.getOrDefault(id, 0)));
  }

  Optional<ServerState> find(String serverId) {
    return Optional.ofNullable(states.get(serverId));
  }

  Collection<ServerState> all() {
    return Collections.unmodifiableCollection(states.values());
  }

  boolean isAnyAccepting() {
    return states.values().stream().anyMatch(ServerState::acceptsRequests);
  }

  /** Returns the servers with more than a number of free slots for a route rank. */
  List<ServerState> withFreeSlots(int routeRank, int leftFree, Duration now) {
    List<ServerState> result = new ArrayList<>();
    for (ServerState state : usable(now)) {
      if (state.freeSlots(routeRank) > leftFree) {
        result.add(state);
      }
    }
    return result;
  }

  /** Returns the number of slots that are free for a route rank. */
  int countFreeSlots(int routeRank, Duration now) {
    int free = 0;
    for (ServerState state : usable(now)) {
      free += state.freeSlots(routeRank);
    }
    return free;
  }

  /**
   * Returns the servers with a reserved slot that a short request may use.
   *
   * @param request the request
   * @param waitingRanks the route ranks of waiting requests, which may not use the slot
   * @param maxDuration the longest expected duration of the request
   * @param now the current time
   */
  List<ServerState> withReservedSlot(
      PlacementRequest request, Set<Integer> waitingRanks, Duration maxDuration, Duration now) {
    List<ServerState> result = new ArrayList<>();
    for (ServerState state : usable(now)) {
      if (state.hasReservedSlot(waitingRanks)
          && state.expectedDuration(request).compareTo(maxDuration) <= 0) {
        result.add(state);
      }
    }
    return result;
  }

  /** Returns the servers that may get requests if they have a free slot. */
  private List<ServerState> usable(Duration now) {
    boolean areAllSuspect = areAllSuspect(now);
    List<ServerState> usable = new ArrayList<>();
    for (ServerState state : states.values()) {
      if (!state.isAvoided(now) && (areAllSuspect || !state.isSuspect(now))) {
        usable.add(state);
      }
    }
    return usable;
  }

  private boolean areAllSuspect(Duration now) {
    for (ServerState state : states.values()) {
      if (state.acceptsRequests() && !state.isSuspect(now)) {
        return false;
      }
    }
    return true;
  }

  /** Decays the measurements, so that servers that were slow or failed receive requests again. */
  void decay(Duration elapsed) {
    states.values().forEach(state -> state.decay(elapsed));
  }

  /** Returns how long a server of average speed is expected to take for a complete response. */
  Duration expectedDuration(long promptTokens, double events) {
    double meanGapMillis =
        states.values().stream().mapToDouble(ServerState::eventGapMillis).average().orElse(0);
    double millis = events * meanGapMillis + promptTokens * ServerState.PREFILL_MILLIS_PER_TOKEN;
    return Duration.ofNanos((long) (millis * NANOS_PER_MILLI));
  }

  /** Updates how many slots less urgent requests leave free, by the load of the servers. */
  void updateReservations(Duration elapsed) {
    int own = 0;
    int all = 0;
    int slots = 0;
    int accepting = 0;
    for (ServerState state : states.values()) {
      own += state.running();
      all += state.occupied();
      if (state.acceptsRequests()) {
        slots += state.server().slots();
        accepting++;
      }
    }
    reservations.update(own, all, accepting, slots, elapsed);
  }

  /** Returns how many requests of this gateway run on each server. */
  Map<String, Integer> runningByServer() {
    Map<String, Integer> counts = new HashMap<>();
    states.forEach(
        (id, state) -> {
          if (state.running() > 0) {
            counts.put(id, state.running());
          }
        });
    return counts;
  }
}
