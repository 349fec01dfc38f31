package org.wigeonstage.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.wigeonstage.capacity.PoolCapacity;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.rollout.VersionFilter;

/** The servers of one pool with their estimated states, and which of them can take a request. */
final class ServerStates {

  private static final double NANOS_PER_MILLI = 1e6;

  private final SchedulingLimits limits;
  private final SlotReservations reservations;
  private final Map<String, ServerState> states = new HashMap<>();
  private final Optional<PoolCapacity> capacity;
  private Map<String, Integer> runningAtPeers = Map.of();
  private VersionFilter versionFilter = new VersionFilter();

  ServerStates(SchedulingLimits limits, SlotReservations reservations) {
    this.limits = limits;
    this.reservations = reservations;
    this.capacity =
        limits.learnsServerLimits() ? Optional.of(new PoolCapacity()) : Optional.empty();
  }

  /** Returns what is learned about the servers, if the limits demand it. */
  Optional<PoolCapacity> capacity() {
    return capacity;
  }

  /** Sets the filter that decides by versions which servers may get requests. */
  void setVersionFilter(VersionFilter filter) {
    versionFilter = filter;
  }

  /** Replaces the registered servers, and keeps the estimates for those that remain. */
  void applyServers(List<BackendServer> registered) {
    Map<String, BackendServer> byId = new HashMap<>();
    registered.forEach(server -> byId.put(server.id(), server));
    versionFilter.applyServers(registered);
    states.values().removeIf(state -> !byId.containsKey(state.server().id()));
    byId.forEach(
        (id, server) -> {
          ServerState state =
              states.computeIfAbsent(
                  id, key -> new ServerState(server, limits, reservations, createSpeed(server)));
          if (!state.server().runId().equals(server.runId())) {
            state.replaceSpeed(createSpeed(server));
          }
          state.applyRegistration(server);
          state.updateRunningAtPeers(runningAtPeers.getOrDefault(id, 0));
        });
    capacity.ifPresent(
        learned ->
            learned.retain(
                registered.stream().map(BackendServer::runId).collect(Collectors.toSet()),
                registered.stream().map(BackendServer::version).collect(Collectors.toSet())));
  }

  /** Returns an estimate for a new run of a server, which begins with the usual speed. */
  private ServerSpeed createSpeed(BackendServer server) {
    return capacity
        .<ServerSpeed>map(
            learned ->
                new LearnedServerSpeed(
                    learned.server(server.runId(), server.version(), server.slots())))
        .orElseGet(AssumedServerSpeed::new);
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
    return states.values().stream()
        .anyMatch(state -> state.acceptsRequests() && versionFilter.mayServe(state.server()));
  }

  /** Records that a request is sent to a server. */
  void recordStart(ServerState state, PlacementRequest request, Duration now) {
    versionFilter.recordStart(state.server());
    state.recordStart(request, now);
  }

  /** Returns the servers that have to be chosen from because of their versions. */
  private List<ServerState> preferred(List<ServerState> candidates) {
    if (versionFilter.isOpen()) {
      return candidates;
    }
    List<ServerState> preferred = new ArrayList<>();
    for (ServerState state : candidates) {
      if (versionFilter.prefers(state.server())) {
        preferred.add(state);
      }
    }
    return preferred.isEmpty() ? candidates : preferred;
  }

  /** Returns the servers with more than a number of free slots for a route rank. */
  List<ServerState> withFreeSlots(int routeRank, int leftFree, Duration now) {
    boolean areAllSuspect = areAllSuspect(now);
    List<ServerState> result = new ArrayList<>();
    for (ServerState state : states.values()) {
      if (state.freeSlots(routeRank) > leftFree && isUsable(state, areAllSuspect, now)) {
        result.add(state);
      }
    }
    return preferred(result);
  }

  /** Returns the number of slots that are free for a route rank. */
  int countFreeSlots(int routeRank, Duration now) {
    boolean areAllSuspect = areAllSuspect(now);
    int free = 0;
    for (ServerState state : states.values()) {
      free += isUsable(state, areAllSuspect, now) ? state.freeSlots(routeRank) : 0;
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
    boolean areAllSuspect = areAllSuspect(now);
    List<ServerState> result = new ArrayList<>();
    for (ServerState state : states.values()) {
      if (state.hasReservedSlot(waitingRanks)
          && isUsable(state, areAllSuspect, now)
          && state.expectedSlotTime(request).compareTo(maxDuration) <= 0) {
        result.add(state);
      }
    }
    return preferred(result);
  }

  /** Returns whether a server may get requests if it has a free slot. */
  private boolean isUsable(ServerState state, boolean areAllSuspect, Duration now) {
    return versionFilter.allows(state.server())
        && !state.isAvoided(now)
        && (areAllSuspect || !state.isSuspect(now));
  }

  private boolean areAllSuspect(Duration now) {
    for (ServerState state : states.values()) {
      if (versionFilter.allows(state.server())
          && state.acceptsRequests()
          && !state.isSuspect(now)) {
        return false;
      }
    }
    return true;
  }

  /** Updates what is learned about the servers. */
  void update(Duration now) {
    capacity.ifPresent(learned -> learned.update(now));
  }

  /** Returns how long a server of average speed is expected to take for a complete response. */
  Duration expectedDuration(long promptTokens, double events) {
    double gapMillis = average(ServerState::eventGapMillis).orElse(0);
    double prefillMillisPerToken =
        average(ServerState::prefillMillisPerToken)
            .orElse(AssumedServerSpeed.PREFILL_MILLIS_PER_TOKEN);
    double millis = events * gapMillis + promptTokens * prefillMillisPerToken;
    return Duration.ofNanos((long) (millis * NANOS_PER_MILLI));
  }

  private OptionalDouble average(ToDoubleFunction<ServerState> figure) {
    return states.values().stream().mapToDouble(figure).average();
  }

  /** Decays the measurements, so that servers that were slow or failed receive requests again. */
  void decay(Duration elapsed) {
    states.values().forEach(state -> state.decay(elapsed));
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
