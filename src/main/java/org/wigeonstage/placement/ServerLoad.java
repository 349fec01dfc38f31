package org.wigeonstage.placement;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.wigeonstage.fleet.BackendServer;

/** What is believed of one backend server. */
final class ServerLoad {

  /** The weight of the newest value in running averages. */
  private static final double GAIN = 0.1;

  /** The failure rate that one failed request adds. */
  private static final double FAILURE_GAIN = 0.2;

  /** What a prompt's token costs before anything was learned: engines read about 100 in a ms. */
  static final double INITIAL_MILLIS_PER_TOKEN = 0.01;

  /** How long an event of a stream takes before anything was learned. */
  private static final double INITIAL_MILLIS_PER_EVENT = 25;

  /** What the first part of an answer waits longer on a full server than on an idle one. */
  private static final double LOAD_MILLIS = 20;

  /** How long a request waits at a full server for each one that is ahead of it. */
  private static final double QUEUED_MILLIS = 60;

  /** Further doublings of a pause exceed the longest one, and would overflow in the end. */
  private static final int MAX_DOUBLINGS = 6;

  /** The time that a failed request costs its caller, for weighing servers that fail some. */
  private static final double FAILURE_COST_MILLIS = 1500;

  private static final double NANOS_PER_MILLI = 1e6;
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * The time to the first part of a short prompt before anything was learned. It is low, so that
   * new servers are tried.
   */
  private static final double INITIAL_FIRST_PART_MILLIS = 2;

  /** What is left after a second of what was learned; a slow phase is forgotten in some seconds. */
  private static final double KEPT_PER_SECOND = 0.93;

  private final SchedulingLimits limits;
  private final Map<PlacementRequest, Boolean> running = new HashMap<>();
  private BackendServer server;
  private int runningElsewhere;
  private double millisPerEvent;
  private double firstPartMillis = INITIAL_FIRST_PART_MILLIS;
  private double failureRate;
  private int unreachableInARow;
  private int declinedInARow;
  private boolean isReplaced;
  private Duration suspectUntil = Duration.ZERO;
  private Duration declinesUntil = Duration.ZERO;

  ServerLoad(BackendServer server, SchedulingLimits limits) {
    this.server = server;
    this.limits = limits;
  }

  BackendServer server() {
    return server;
  }

  /** Takes over the server's registration; a moved one is no longer where another one answered. */
  void update(BackendServer newer) {
    isReplaced &= newer.address().equals(server.address());
    server = newer;
  }

  void runningElsewhere(int count) {
    runningElsewhere = count;
  }

  void started(PlacementRequest request) {
    running.put(request, Boolean.FALSE);
  }

  void firstPart(PlacementRequest request, Duration sinceStart) {
    if (running.replace(request, Boolean.TRUE) == null) {
      return;
    }
    double own = sinceStart.toMillis() - request.promptTokens() * INITIAL_MILLIS_PER_TOKEN;
    firstPartMillis += GAIN * (Math.max(own, 0) - firstPartMillis);
    unreachableInARow = 0;
    declinedInARow = 0;
  }

  void eventPace(double millis) {
    millisPerEvent =
        millisPerEvent == 0 ? millis : millisPerEvent + GAIN * (millis - millisPerEvent);
  }

  double millisPerEvent() {
    return millisPerEvent == 0 ? INITIAL_MILLIS_PER_EVENT : millisPerEvent;
  }

  void finished(PlacementRequest request) {
    running.remove(request);
  }

  void succeeded() {
    failureRate -= GAIN * failureRate;
    unreachableInARow = 0;
    declinedInARow = 0;
  }

  void failed() {
    failureRate += FAILURE_GAIN * (1 - failureRate);
  }

  /** Lets what was learned fade, so that a server that was slow or failed is tried again. */
  void fade(Duration elapsed) {
    double kept = Math.pow(KEPT_PER_SECOND, elapsed.toNanos() / NANOS_PER_SECOND);
    firstPartMillis =
        INITIAL_FIRST_PART_MILLIS + kept * (firstPartMillis - INITIAL_FIRST_PART_MILLIS);
    failureRate *= kept;
  }

  void unreachable(Duration now) {
    failed();
    suspectUntil = now.plus(pause(limits.avoidAfterFailure(), unreachableInARow));
    unreachableInARow++;
  }

  /** Avoids the server for a moment, the longer the more often in a row it declines requests. */
  void declined(Duration now) {
    failed();
    declinesUntil = now.plus(pause(limits.avoidAfterDecline(), declinedInARow));
    declinedInARow++;
  }

  /** Returns a pause that doubles with each time before, up to the longest one. */
  private Duration pause(Duration first, int timesBefore) {
    Duration doubled = first.multipliedBy(1L << Math.min(timesBefore, MAX_DOUBLINGS));
    return Comparators.min(doubled, limits.maxAvoid());
  }

  /** Notes that another server answers at the address; this one will not come back to it. */
  void replaced() {
    isReplaced = true;
  }

  boolean takesNewWork() {
    return !server.isLeaving() && !isReplaced;
  }

  /** Returns whether the server declined a request a moment ago. */
  boolean isDeclining(Duration now) {
    return now.compareTo(declinesUntil) < 0;
  }

  /** Returns whether the server could not be reached lately. */
  boolean isSuspect(Duration now) {
    return now.compareTo(suspectUntil) < 0;
  }

  int occupied() {
    return running.size() + runningElsewhere;
  }

  int running() {
    return running.size();
  }

  /** Returns how many more requests of a rank the server takes. */
  int places(int rank) {
    if (!takesNewWork()) {
      return 0;
    }
    int limit =
        rank == 0
            ? server.slots() + limits.extraPlaces()
            : Math.max(1, server.slots() - limits.reservedPerRank() * rank);
    return Math.max(0, limit - occupied());
  }

  /** Returns the expected time to the first part of the request's answer. */
  Duration expectedFirstPart(PlacementRequest request) {
    long unread = request.promptTokens();
    for (Map.Entry<PlacementRequest, Boolean> entry : running.entrySet()) {
      if (!entry.getValue()) {
        unread += entry.getKey().promptTokens();
      }
    }
    double slowness = millisPerEvent() / INITIAL_MILLIS_PER_EVENT;
    double load = (double) occupied() / Math.max(server.slots(), 1);
    double millis =
        firstPartMillis
            + unread * INITIAL_MILLIS_PER_TOKEN * slowness
            + LOAD_MILLIS * load
            + QUEUED_MILLIS * slowness * Math.max(0, occupied() + 1 - server.slots());
    return Duration.ofNanos((long) (millis * NANOS_PER_MILLI));
  }

  /**
   * Returns by how much the whole answer is expected to miss the request's deadline where its first
   * part comes at a time.
   */
  private Duration expectedOverrun(PlacementRequest request, Duration firstPartAt) {
    Duration events =
        Duration.ofNanos((long) (request.expectedEvents() * millisPerEvent() * NANOS_PER_MILLI));
    Duration overrun = firstPartAt.plus(events).minus(request.deadline());
    return overrun.isNegative() ? Duration.ZERO : overrun;
  }

  /** Returns what the request is expected to cost its caller here, in milliseconds. */
  double cost(PlacementRequest request, Duration now) {
    Duration firstPart = expectedFirstPart(request);
    return firstPart.toNanos() / NANOS_PER_MILLI
        + failureRate * FAILURE_COST_MILLIS
        + expectedOverrun(request, now.plus(firstPart)).toMillis();
  }

  ServerEstimate estimate(PlacementRequest request) {
    return new ServerEstimate(
        running.size(), runningElsewhere, server.slots(), expectedFirstPart(request));
  }
}
