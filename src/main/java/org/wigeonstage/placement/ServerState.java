package org.wigeonstage.placement;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.wigeonstage.fleet.BackendServer;

/** The load, speed and availability of one backend server, as estimated by this gateway. */
final class ServerState {

  /** The weight of the newest value in exponential moving averages. */
  private static final double SMOOTHING_FACTOR = 0.1;

  /** The weight of a failed request in the failure rate. */
  private static final double FAILURE_SMOOTHING_FACTOR = 0.2;

  /** Further doublings of a backoff exceed the longest one, and would eventually overflow. */
  private static final int MAX_DOUBLINGS = 6;

  /** The delay that a failed request costs its caller; converts the failure rate into a cost. */
  private static final double FAILURE_COST_MILLIS = 1500;

  private static final double NANOS_PER_MILLI = 1e6;
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * The share of the measured delay and failure rate that remains after one second, so that a slow
   * phase has half of its effect after about ten seconds.
   */
  private static final double RETAINED_PER_SECOND = 0.93;

  private final SchedulingLimits limits;
  private final SlotReservations reservations;
  private ServerSpeed speed;

  /** The running requests of this gateway, and whether the first part of each has arrived. */
  private final Map<PlacementRequest, Boolean> firstPartArrivedByRequest = new HashMap<>();

  private BackendServer server;
  private int runningAtPeers;

  /** The prompt tokens of running requests of this gateway whose first part is awaited. */
  private long pendingPromptTokens;

  private double failureRate;
  private int consecutiveSuspicions;
  private int consecutiveDeclines;
  private int consecutiveConnectFailures;
  private boolean isReplaced;
  private Duration suspectUntil = Duration.ZERO;
  private Duration decliningUntil = Duration.ZERO;
  private Duration pausedUntil = Duration.ZERO;

  ServerState(
      BackendServer server,
      SchedulingLimits limits,
      SlotReservations reservations,
      ServerSpeed speed) {
    this.server = server;
    this.limits = limits;
    this.reservations = reservations;
    this.speed = speed;
  }

  BackendServer server() {
    return server;
  }

  /**
   * Applies a new registration of the server. A server that was replaced at its address accepts
   * requests again once it is registered with another address.
   */
  void applyRegistration(BackendServer newServer) {
    isReplaced &= newServer.hasSameAddress(server);
    server = newServer;
  }

  /** Replaces the estimated speed, because the server was restarted. */
  void replaceSpeed(ServerSpeed newSpeed) {
    speed = newSpeed;
  }

  void updateRunningAtPeers(int count) {
    runningAtPeers = count;
  }

  void recordStart(PlacementRequest request, Duration now) {
    int occupiedBefore = occupied();
    firstPartArrivedByRequest.put(request, Boolean.FALSE);
    pendingPromptTokens += request.promptTokens();
    speed.recordStart(request, pendingPromptTokens, occupiedBefore, now);
  }

  void recordFirstPart(PlacementRequest request, Duration sinceStart) {
    Boolean previous = firstPartArrivedByRequest.replace(request, Boolean.TRUE);
    if (previous == null) {
      return;
    }
    pendingPromptTokens -= previous ? 0 : request.promptTokens();
    speed.recordFirstPart(request, sinceStart);
    consecutiveSuspicions = 0;
    consecutiveDeclines = 0;
    consecutiveConnectFailures = 0;
  }

  void recordEventGap(Duration meanGap) {
    speed.recordEventGap(meanGap.toNanos() / NANOS_PER_MILLI);
  }

  double eventGapMillis() {
    return speed.eventGapMillis(occupied());
  }

  double prefillMillisPerToken() {
    return speed.prefillMillisPerToken();
  }

  /** Records the end of an attempt with a result. */
  void recordEnd(PlacementRequest request, AttemptResult result, Duration now) {
    Boolean hadFirstPart = firstPartArrivedByRequest.remove(request);
    if (hadFirstPart != null) {
      pendingPromptTokens -= hadFirstPart ? 0 : request.promptTokens();
      speed.recordEnd(request, result == AttemptResult.SERVED, occupied(), now);
    }
    recordResult(result, now);
  }

  /** Updates the estimates with the result of an attempt. */
  private void recordResult(AttemptResult result, Duration now) {
    switch (result) {
      case NOT_CONNECTED -> recordConnectFailure(now);
      case SERVED -> recordSuccess();
      case FAILED -> recordFailedResponse();
      case UNREACHABLE -> markSuspect(now);
      case DECLINED -> recordDecline(now);
      case REPLACED -> markReplaced();
      case NEUTRAL -> {}
    }
  }

  private void recordSuccess() {
    consecutiveConnectFailures = 0;
    failureRate -= SMOOTHING_FACTOR * failureRate;
    consecutiveSuspicions = 0;
    consecutiveDeclines = 0;
  }

  private void recordFailedResponse() {
    consecutiveConnectFailures = 0;
    recordFailure();
  }

  private void recordFailure() {
    failureRate += FAILURE_SMOOTHING_FACTOR * (1 - failureRate);
  }

  /**
   * Decays the measured delay and failure rate, so that a server that was slow or failed receives
   * requests again.
   */
  void decay(Duration elapsed) {
    speed.decay(elapsed);
    failureRate *= retainedAfter(elapsed);
  }

  /** Returns the share of a measured delay or failure rate that remains after a time. */
  static double retainedAfter(Duration elapsed) {
    return Math.pow(RETAINED_PER_SECOND, elapsed.toNanos() / NANOS_PER_SECOND);
  }

  /** Records that the server failed to respond, and makes it suspect for a backoff. */
  void markSuspect(Duration now) {
    recordFailure();
    suspectUntil = now.plus(backoff(limits.suspectBackoff(), consecutiveSuspicions));
    consecutiveSuspicions++;
  }

  /** Records that the server declined a request, and avoids it for a backoff. */
  private void recordDecline(Duration now) {
    consecutiveConnectFailures = 0;
    recordFailure();
    decliningUntil = now.plus(backoff(limits.declineBackoff(), consecutiveDeclines));
    consecutiveDeclines++;
  }

  /**
   * Records that no connection could be established, and avoids the server for a pause. The failure
   * of several attempts at once counts once.
   */
  private void recordConnectFailure(Duration now) {
    markSuspect(now);
    if (!isPaused(now)) {
      Duration pause = backoff(limits.declineBackoff(), consecutiveConnectFailures);
      pausedUntil = now.plus(Comparators.min(pause, limits.suspectBackoff()));
      consecutiveConnectFailures++;
    }
  }

  private boolean isPaused(Duration now) {
    return now.compareTo(pausedUntil) < 0;
  }

  /** Returns a backoff that doubles with each previous occurrence, up to the longest one. */
  private Duration backoff(Duration initial, int previousOccurrences) {
    Duration doubled = initial.multipliedBy(1L << Math.min(previousOccurrences, MAX_DOUBLINGS));
    return Comparators.min(doubled, limits.maxBackoff());
  }

  /**
   * Records that another server responds at this server's address; this one will not return to it.
   */
  private void markReplaced() {
    isReplaced = true;
  }

  boolean acceptsRequests() {
    return !server.isLeaving() && !isReplaced;
  }

  /** Returns whether no request may be sent to the server, also if no other one is available. */
  boolean isAvoided(Duration now) {
    return now.compareTo(decliningUntil) < 0 || isPaused(now) || isBeingTried();
  }

  /** Returns whether a request tries a server to which no connection could be established. */
  private boolean isBeingTried() {
    return consecutiveConnectFailures > 0 && firstPartArrivedByRequest.containsValue(Boolean.FALSE);
  }

  /** Returns whether the server is avoided because it recently failed to respond. */
  boolean isSuspect(Duration now) {
    return now.compareTo(suspectUntil) < 0;
  }

  int occupied() {
    return firstPartArrivedByRequest.size() + runningAtPeers;
  }

  int running() {
    return firstPartArrivedByRequest.size();
  }

  /** Returns how many more requests of a route rank the server accepts. */
  int freeSlots(int routeRank) {
    if (!acceptsRequests()) {
      return 0;
    }
    return Math.max(0, maxOccupied(routeRank) - occupied());
  }

  /** Returns how many requests the server is to run at once. */
  private int limit() {
    return speed.limit(server.slots());
  }

  /** Returns how many requests may occupy the server when one of a route rank is added. */
  private int maxOccupied(int routeRank) {
    return routeRank == 0
        ? limit() + limits.maxQueuedAtServer()
        : Math.max(1, limit() - reservations.reservedSlots(routeRank));
  }

  /** Returns whether a slot is free that requests of none of the given route ranks may use. */
  boolean hasReservedSlot(Set<Integer> waitingRanks) {
    if (!acceptsRequests() || occupied() >= limit()) {
      return false;
    }
    for (int routeRank : waitingRanks) {
      if (freeSlots(routeRank) > 0) {
        return false;
      }
    }
    return true;
  }

  /** Returns the expected time until the first part of the response to the request. */
  Duration expectedTimeToFirstPart(PlacementRequest request) {
    long promptTokens = pendingPromptTokens + request.promptTokens();
    double millis = speed.firstPartMillis(promptTokens, occupied(), server.slots());
    return Duration.ofNanos((long) (millis * NANOS_PER_MILLI));
  }

  /**
   * Returns by how much the complete response is expected to exceed the deadline of the request if
   * its first part arrives at the given time.
   */
  private Duration expectedOverrun(PlacementRequest request, Duration firstPartAt) {
    Duration overrun = firstPartAt.plus(expectedTimeForEvents(request)).minus(request.deadline());
    return overrun.isNegative() ? Duration.ZERO : overrun;
  }

  private Duration expectedTimeForEvents(PlacementRequest request) {
    return Duration.ofNanos((long) (request.expectedEvents() * eventGapMillis() * NANOS_PER_MILLI));
  }

  /** Returns the expected time until the response to the request is complete. */
  Duration expectedDuration(PlacementRequest request) {
    return expectedTimeToFirstPart(request).plus(expectedTimeForEvents(request));
  }

  /** Returns for how long the request would keep a reserved slot. */
  Duration expectedSlotTime(PlacementRequest request) {
    long promptTokens = pendingPromptTokens + request.promptTokens();
    double millis = speed.slotMillis(request, promptTokens, occupied(), server.slots());
    return Duration.ofNanos((long) (millis * NANOS_PER_MILLI));
  }

  /**
   * Returns the expected cost of running the request on this server: the time to the first part,
   * the weighted failure rate and the expected overrun of the deadline.
   */
  double costMillis(PlacementRequest request, Duration now) {
    Duration timeToFirstPart = expectedTimeToFirstPart(request);
    return timeToFirstPart.toNanos() / NANOS_PER_MILLI
        + failureRate * FAILURE_COST_MILLIS
        + expectedOverrun(request, now.plus(timeToFirstPart)).toMillis();
  }

  ServerEstimate estimate(PlacementRequest request) {
    return new ServerEstimate(
        firstPartArrivedByRequest.size(),
        runningAtPeers,
        server.slots(),
        expectedTimeToFirstPart(request),
        freeSlots(request.urgency().routeRank()) == 0);
  }
}
