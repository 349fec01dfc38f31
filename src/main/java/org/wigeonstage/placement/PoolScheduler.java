package org.wigeonstage.placement;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.routes.PoolDefinition;

/**
 * Decides where and when the requests of one pool run.
 *
 * <p>Backend servers admit requests in order of arrival and know no tiers, so requests wait here:
 * in tier order, and within a tier first those that can still be on time where servers are as slow
 * as they are now. A server gets no more requests than it runs at once. Lower tiers leave places to
 * higher ones.
 *
 * <p>Not safe for use by several threads.
 */
public final class PoolScheduler {

  private static final double NANOS_PER_MILLI = 1e6;

  /** Servers whose costs differ by less are taken as alike. */
  private static final double ALIKE_MILLIS = 4;

  private static final Duration FADE_INTERVAL = Duration.ofMillis(500);

  /** How often queues are searched for requests that will not start in time. */
  private static final Duration REVIEW_INTERVAL = Duration.ofMillis(100);

  /** Requests are refused early only if they would be late with this many times the places. */
  private static final int HOPELESS_FACTOR = 2;

  private static final Duration NO_SERVER_RETRY = Duration.ofSeconds(1);
  private static final Duration MIN_RETRY = Duration.ofMillis(200);
  private static final Duration MAX_RETRY = Duration.ofSeconds(3);

  private final SchedulingLimits limits;
  private final PlacementEffects effects;
  private final RandomGenerator random;
  private final TreeMap<Urgency, List<PlacementRequest>> waiting = new TreeMap<>();
  private final Map<Urgency, Duration> waitingSince = new HashMap<>();
  private final Map<String, ServerLoad> servers = new HashMap<>();
  private final StartRates starts;
  private Map<String, Integer> runningElsewhere = Map.of();
  private NavigableMap<Urgency, Integer> waitingElsewhere = new TreeMap<>();
  private int tokensPerEvent = 1;
  private Duration fadedAt = Duration.ZERO;
  private Duration reviewedAt = Duration.ZERO;

  /**
   * Creates a scheduler without servers.
   *
   * @param limits its limits
   * @param effects carries out its decisions
   * @param random chooses among servers that are alike
   */
  public PoolScheduler(SchedulingLimits limits, PlacementEffects effects, RandomGenerator random) {
    this.limits = limits;
    this.random = random;
    this.effects = effects;
    this.starts = new StartRates(limits.rateWindow());
  }

  /**
   * Takes over the registered servers of the pool.
   *
   * @param registered the servers
   * @param now the time
   */
  public void applyServers(List<BackendServer> registered, Duration now) {
    Map<String, BackendServer> byId = new HashMap<>();
    registered.forEach(server -> byId.put(server.id(), server));
    servers.values().removeIf(load -> !byId.containsKey(load.server().id()));
    byId.forEach(
        (id, server) -> {
          ServerLoad load = servers.computeIfAbsent(id, key -> new ServerLoad(server, limits));
          load.update(server);
          load.runningElsewhere(runningElsewhere.getOrDefault(id, 0));
        });
    dispatch(now);
  }

  /**
   * Takes over what runs and waits at other gateways.
   *
   * @param running requests by server
   * @param waitingThere requests by urgency
   * @param now the time
   */
  public void applyPeerLoad(
      Map<String, Integer> running, NavigableMap<Urgency, Integer> waitingThere, Duration now) {
    runningElsewhere = Map.copyOf(running);
    waitingElsewhere = waitingThere;
    servers.forEach((id, load) -> load.runningElsewhere(running.getOrDefault(id, 0)));
    dispatch(now);
  }

  /**
   * Returns how many requests of each urgency wait here.
   *
   * @return counts by urgency
   */
  public Map<Urgency, Integer> waitingByUrgency() {
    Map<Urgency, Integer> counts = new HashMap<>();
    waiting.forEach(
        (urgency, queue) -> {
          if (!queue.isEmpty()) {
            counts.put(urgency, queue.size());
          }
        });
    return counts;
  }

  /**
   * Takes a request. It is started, kept waiting or refused. One whose answer has begun waits as
   * long as it can, because its caller would lose what it has.
   *
   * @param request the request
   * @param now the time
   */
  public void submit(PlacementRequest request, Duration now) {
    if (!request.hasBegun() && servers.values().stream().noneMatch(ServerLoad::takesNewWork)) {
      effects.refuse(request, RefusalReason.NO_SERVER, NO_SERVER_RETRY);
      return;
    }
    Duration wait = expectedWait(request.urgency(), now);
    if (!request.wasPlacedBefore() && now.plus(wait).compareTo(request.startBy()) > 0) {
      effects.refuse(request, RefusalReason.QUEUE_TOO_LONG, retryAfter(wait));
      return;
    }
    List<PlacementRequest> queue =
        waiting.computeIfAbsent(request.urgency(), key -> new ArrayList<>());
    if (queue.isEmpty()) {
      waitingSince.put(request.urgency(), now);
    }
    queue.add(request);
    dispatch(now);
  }

  /**
   * Takes a request out of the queue.
   *
   * @param request a request that may wait
   */
  public void withdraw(PlacementRequest request) {
    List<PlacementRequest> queue = waiting.get(request.urgency());
    if (queue != null) {
      queue.remove(request);
    }
  }

  /**
   * Notes the first part of an answer.
   *
   * @param request the request
   * @param serverId the server that answers
   * @param sinceStart the time since the request was sent there
   */
  public void recordFirstPart(PlacementRequest request, String serverId, Duration sinceStart) {
    load(serverId).ifPresent(load -> load.firstPart(request, sinceStart));
  }

  /**
   * Notes how fast a server makes the events of a stream.
   *
   * @param serverId the server
   * @param perEvent the mean time between two events
   */
  public void recordEventGap(String serverId, Duration perEvent) {
    load(serverId).ifPresent(load -> load.eventPace(perEvent.toNanos() / NANOS_PER_MILLI));
  }

  /**
   * Returns how long the whole answer to a request is expected to take on a middling server.
   *
   * @param promptTokens the length of the prompt
   * @param outputTokens the length of the answer
   * @return the time
   */
  public Duration expectedDuration(long promptTokens, long outputTokens) {
    double perEvent =
        servers.values().stream().mapToDouble(ServerLoad::millisPerEvent).average().orElse(0);
    double millis =
        (double) outputTokens / tokensPerEvent * perEvent
            + promptTokens * ServerLoad.INITIAL_MILLIS_PER_TOKEN;
    return Duration.ofNanos((long) (millis * NANOS_PER_MILLI));
  }

  /**
   * Takes over the definition of the pool.
   *
   * @param definition the definition
   */
  public void applyDefinition(PoolDefinition definition) {
    tokensPerEvent = Math.max(1, definition.tokensPerEvent());
  }

  /**
   * Returns how many events an answer has.
   *
   * @param outputTokens the length of the answer in tokens
   * @return the number of events
   */
  public long eventCount(long outputTokens) {
    return outputTokens / tokensPerEvent;
  }

  /**
   * Notes the end of an attempt.
   *
   * @param request the request
   * @param serverId the server that had it
   * @param result what it says about the server
   * @param now the time
   */
  public void endAttempt(
      PlacementRequest request, String serverId, AttemptResult result, Duration now) {
    load(serverId)
        .ifPresent(
            load -> {
              load.finished(request);
              switch (result) {
                case SERVED -> load.succeeded();
                case FAILED -> load.failed();
                case UNREACHABLE -> load.unreachable(now);
                case DECLINED -> load.declined(now);
                case REPLACED -> load.replaced();
                case NEUTRAL -> {}
              }
            });
    dispatch(now);
  }

  /**
   * Applies the passage of time.
   *
   * @param now the time
   */
  public void tick(Duration now) {
    Duration sinceFade = now.minus(fadedAt);
    if (sinceFade.compareTo(FADE_INTERVAL) >= 0) {
      servers.values().forEach(load -> load.fade(sinceFade));
      fadedAt = now;
    }
    refuseExpired(now);
    if (now.minus(reviewedAt).compareTo(REVIEW_INTERVAL) >= 0) {
      reviewedAt = now;
      refuseHopeless(now);
    }
    dispatch(now);
  }

  /**
   * Notes that a server has fallen silent.
   *
   * @param serverId the server
   * @param now the time
   */
  public void markSuspect(String serverId, Duration now) {
    load(serverId).ifPresent(load -> load.unreachable(now));
  }

  /**
   * Returns whether a sound server that has not had a request can be expected to take it in time.
   *
   * @param request the request
   * @param startBy the latest start that is of use; a place that is free is taken later, too
   * @param now the time
   * @return whether it would be started there
   */
  public boolean canStartOnAnotherServer(PlacementRequest request, Duration startBy, Duration now) {
    boolean isInTime = now.plus(expectedWait(request.urgency(), now)).compareTo(startBy) < 0;
    Collection<ServerLoad> candidates = isInTime ? servers.values() : openServers(request, now);
    return candidates.stream()
        .filter(ServerLoad::takesNewWork)
        .anyMatch(load -> !load.isSuspect(now) && !request.hasTried(load.server().id()));
  }

  /**
   * Returns whether a server could not be reached lately.
   *
   * @param serverId the server
   * @param now the time
   * @return whether it is suspected not to run
   */
  public boolean isSuspect(String serverId, Duration now) {
    return load(serverId).map(load -> load.isSuspect(now)).orElse(false);
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return the number
   */
  public int waitingCount() {
    int count = 0;
    for (List<PlacementRequest> queue : waiting.values()) {
      count += queue.size();
    }
    return count;
  }

  /**
   * Returns how many requests of this gateway each server runs.
   *
   * @return counts by server
   */
  public Map<String, Integer> runningByServer() {
    Map<String, Integer> counts = new HashMap<>();
    servers.forEach(
        (id, load) -> {
          if (load.running() > 0) {
            counts.put(id, load.running());
          }
        });
    return counts;
  }

  private Optional<ServerLoad> load(String serverId) {
    return Optional.ofNullable(servers.get(serverId));
  }

  private void refuseExpired(Duration now) {
    List<PlacementRequest> expired = new ArrayList<>();
    for (List<PlacementRequest> queue : waiting.values()) {
      Iterator<PlacementRequest> requests = queue.iterator();
      while (requests.hasNext()) {
        PlacementRequest request = requests.next();
        if (now.compareTo(request.startBy()) >= 0) {
          requests.remove();
          expired.add(request);
        }
      }
    }
    expired.forEach(
        request ->
            effects.refuse(
                request,
                RefusalReason.WAITED_TOO_LONG,
                retryAfter(expectedWait(request.urgency(), now))));
  }

  /**
   * Refuses early what will not start in time, but for requests that a server had before: their
   * callers may have part of an answer, and nothing is lost by trying until the end. Answers the
   * load pattern in which requests of higher tiers arrive behind ones that were let in, and take
   * all places from then on.
   */
  private void refuseHopeless(Duration now) {
    Map<PlacementRequest, Duration> hopeless = new LinkedHashMap<>();
    for (List<PlacementRequest> queue : waiting.values()) {
      if (queue.isEmpty()) {
        continue;
      }
      Duration whole = expectedWait(queue.get(0).urgency(), now);
      for (int i = queue.size() - 1; i > 0; i--) {
        Duration wait = whole.multipliedBy(i + 1L).dividedBy(queue.size());
        PlacementRequest request = queue.get(i);
        Duration earliest = now.plus(wait.dividedBy(HOPELESS_FACTOR));
        if (!request.wasPlacedBefore() && earliest.compareTo(request.startBy()) > 0) {
          queue.remove(i);
          hopeless.put(request, wait);
        }
      }
    }
    hopeless.forEach(
        (request, wait) -> effects.refuse(request, RefusalReason.QUEUE_TOO_LONG, retryAfter(wait)));
  }

  private void dispatch(Duration now) {
    for (List<PlacementRequest> queue : List.copyOf(waiting.values())) {
      while (!queue.isEmpty()) {
        PlacementRequest first = queue.get(0);
        Optional<ServerLoad> place = choose(first, now);
        if (place.isEmpty()) {
          return;
        }
        PlacementRequest next = nextOf(queue, now.plus(place.get().expectedFirstPart(first)));
        queue.remove(next);
        start(next, next == first ? place.get() : choose(next, now).orElse(place.get()), now);
      }
    }
  }

  /** Returns the first request for which a first part at a time is in time, or the first one. */
  private static PlacementRequest nextOf(List<PlacementRequest> queue, Duration firstPartAt) {
    for (PlacementRequest request : queue) {
      if (!request.isLate(firstPartAt)) {
        return request;
      }
    }
    return queue.get(0);
  }

  private void start(PlacementRequest request, ServerLoad load, Duration now) {
    starts.started(request.urgency(), now);
    ServerEstimate estimate = load.estimate(request);
    request.tried(load.server().id());
    load.started(request);
    effects.start(request, load.server(), estimate);
  }

  private Optional<ServerLoad> choose(PlacementRequest request, Duration now) {
    List<ServerLoad> open = openServers(request, now);
    List<ServerLoad> untried = new ArrayList<>();
    for (ServerLoad load : open) {
      if (!request.hasTried(load.server().id())) {
        untried.add(load);
      }
    }
    return cheapest(untried.isEmpty() ? open : untried, request, now);
  }

  /** Returns the servers with a place that is not left to more urgent requests elsewhere. */
  private List<ServerLoad> openServers(PlacementRequest request, Duration now) {
    int rank = request.urgency().routeRank();
    boolean allSuspect = areAllSuspect(now);
    List<ServerLoad> open = new ArrayList<>();
    int places = 0;
    for (ServerLoad load : servers.values()) {
      int free = load.places(rank);
      if (free > 0 && !load.isDeclining(now) && (allSuspect || !load.isSuspect(now))) {
        places += free;
        open.add(load);
      }
    }
    return places > moreUrgentElsewhere(request.urgency()) ? open : List.of();
  }

  private boolean areAllSuspect(Duration now) {
    for (ServerLoad load : servers.values()) {
      if (load.takesNewWork() && !load.isSuspect(now)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns one of the servers with almost the least cost, at random, because other gateways choose
   * from the same figures at the same time.
   */
  private Optional<ServerLoad> cheapest(
      List<ServerLoad> loads, PlacementRequest request, Duration now) {
    if (loads.isEmpty()) {
      return Optional.empty();
    }
    double[] costs = new double[loads.size()];
    double least = Double.MAX_VALUE;
    for (int i = 0; i < costs.length; i++) {
      costs[i] = loads.get(i).cost(request, now);
      least = Math.min(least, costs[i]);
    }
    double highest = least + ALIKE_MILLIS;
    List<ServerLoad> alike = new ArrayList<>();
    for (int i = 0; i < costs.length; i++) {
      if (costs[i] <= highest) {
        alike.add(loads.get(i));
      }
    }
    return Optional.of(alike.get(random.nextInt(alike.size())));
  }

  /** Returns how many requests wait at other gateways that go before one of this urgency. */
  private int moreUrgentElsewhere(Urgency urgency) {
    int count = 0;
    for (int waitingThere : waitingElsewhere.headMap(urgency, false).values()) {
      count += waitingThere;
    }
    return count;
  }

  /** Returns how long the requests of an urgency that wait already will take to start. */
  private Duration expectedWait(Urgency urgency, Duration now) {
    List<PlacementRequest> queue = waiting.get(urgency);
    return queue == null || queue.isEmpty()
        ? Duration.ZERO
        : starts.timeFor(queue.size(), urgency, waitingSince.getOrDefault(urgency, now), now);
  }

  private static Duration retryAfter(Duration wait) {
    return Comparators.max(MIN_RETRY, Comparators.min(wait, MAX_RETRY));
  }
}
