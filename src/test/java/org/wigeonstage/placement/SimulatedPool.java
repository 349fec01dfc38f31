package org.wigeonstage.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.wigeonstage.capacity.PoolCapacity;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.routes.PoolDefinition;

/**
 * Many gateways before the engines of one pool, in virtual time. Each gateway knows the load of its
 * peers from reports. Callers whose request is refused come back once, at another gateway, after
 * the delay that they are told, and leave when the first event takes too long.
 */
final class SimulatedPool {

  private static final long TICK_MILLIS = 20;
  private static final long REPORT_INTERVAL_MILLIS = 50;
  private static final long APPLY_INTERVAL_MILLIS = 20;

  /**
   * The standard deviation of the logarithm of lengths, and how much longer than average any is.
   */
  private static final double LENGTH_SPREAD = 1;

  private static final double MAX_LENGTH_FACTOR = 8;

  /** Callers wait at most this share of the time that they have left before they come back. */
  private static final int RETURN_SHARE = 3;

  private static final int MAX_RETURNS = 1;
  private static final int MAX_REPORTS = 100;

  /** The part of the objective that gateways let streams of less urgent ranks wait. */
  private static final int QUEUE_TIME_DIVISOR = 8;

  private static final String LARGE_ACCOUNT = "large";

  private static final PoolDefinition DEFINITION = new PoolDefinition("pool", "/", 100, 8, 0, 1);

  /**
   * A kind of request.
   *
   * @param rank the rank of its route
   * @param perSecond how many arrive a second
   * @param promptTokens the mean length of the prompt
   * @param events the mean number of events in the response
   * @param objectiveMillis the time within which the first event is due
   * @param maxSlotWaitMillis how long a gateway lets it wait for a slot
   * @param patienceMillis how long its caller waits for the first event
   * @param timeLimitMillis when the response must be complete
   */
  record Kind(
      int rank,
      double perSecond,
      double promptTokens,
      double events,
      long objectiveMillis,
      long maxSlotWaitMillis,
      long patienceMillis,
      long timeLimitMillis) {

    /** Streams of less urgent ranks wait for a short part of their objective, plain ones longer. */
    private boolean expectsStreams() {
      return events > 1;
    }
  }

  /** A time in which a kind of request arrives more often. */
  record Burst(int rank, double factor, long fromMillis, long untilMillis) {}

  /** A time in which the first engines are slower than they are otherwise. */
  record Slowdown(int engines, double factor, long fromMillis, long untilMillis) {}

  private record Event(double atMillis, long number, Runnable action) {}

  private final List<SimulatedEngine> engines = new ArrayList<>();
  private final List<Gateway> gateways = new ArrayList<>();
  private final Map<String, Integer> running = new HashMap<>();
  private final Map<Urgency, Integer> waiting = new HashMap<>();
  private final Map<Integer, Tally> tallies = new TreeMap<>();
  private final Map<Integer, Tally> talliesOfOthers = new TreeMap<>();
  private double largeAccountShare;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.atMillis() != b.atMillis()
                  ? Double.compare(a.atMillis(), b.atMillis())
                  : Long.compare(a.number(), b.number()));
  private final SplittableRandom random;
  private final SchedulingLimits limits;
  private final long countedFromMillis;
  private final long countedUntilMillis;
  private long eventCount;
  private long speedReports;
  private long now;

  /**
   * Creates a pool without load.
   *
   * @param gatewayCount the number of gateways
   * @param engineCount the number of engines
   * @param slots the slots of each engine
   * @param slowness the slowness of the engines, which take turns
   * @param countedFromMillis callers who arrive earlier are not counted
   * @param countedUntilMillis callers who arrive later are not counted
   * @param seed the seed of all random choices
   */
  SimulatedPool(
      int gatewayCount,
      int engineCount,
      int slots,
      List<Double> slowness,
      long countedFromMillis,
      long countedUntilMillis,
      long seed) {
    this(
        gatewayCount,
        engineCount,
        slots,
        slowness,
        countedFromMillis,
        countedUntilMillis,
        seed,
        SchedulingLimits.DEFAULTS);
  }

  /** Creates a pool without load, whose gateways have the given limits. */
  SimulatedPool(
      int gatewayCount,
      int engineCount,
      int slots,
      List<Double> slowness,
      long countedFromMillis,
      long countedUntilMillis,
      long seed,
      SchedulingLimits limits) {
    this.limits = limits;
    this.random = new SplittableRandom(seed);
    this.countedFromMillis = countedFromMillis;
    this.countedUntilMillis = countedUntilMillis;
    List<BackendServer> servers = new ArrayList<>();
    for (int i = 0; i < engineCount; i++) {
      engines.add(new SimulatedEngine(slots, slowness.get(i % slowness.size())));
      Endpoint address = new Endpoint("10.0.0.1", 1 + i);
      servers.add(new BackendServer("" + i, "pool", address, "fd", slots, false, 0));
    }
    for (int i = 0; i < gatewayCount; i++) {
      gateways.add(new Gateway(servers));
    }
  }

  /** Plans a time in which some engines are slower; to be called before {@link #play}. */
  SimulatedPool slowDown(Slowdown slowdown) {
    for (SimulatedEngine engine : engines.subList(0, slowdown.engines())) {
      schedule(slowdown.fromMillis(), () -> engine.slowDown(slowdown.factor()));
      schedule(slowdown.untilMillis(), () -> engine.slowDown(1));
    }
    return this;
  }

  /** Lets a share of the requests of each rank come from one account that is over its share. */
  SimulatedPool withLargeAccount(double share) {
    largeAccountShare = share;
    gateways.forEach(gateway -> gateway.scheduler.applyAccountsOverShare(Set.of(LARGE_ACCOUNT)));
    return this;
  }

  /** Returns what became of the requests of accounts that are within their share. */
  Map<Integer, Tally> talliesOfOthers() {
    return talliesOfOthers;
  }

  /** Returns what became of the requests of each rank until the given time. */
  Map<Integer, Tally> play(List<Kind> kinds, List<Burst> bursts, long endMillis) {
    kinds.forEach(kind -> tallies.put(kind.rank(), new Tally()));
    kinds.forEach(kind -> talliesOfOthers.put(kind.rank(), new Tally()));
    Set<Integer> ranks = kinds.stream().map(Kind::rank).collect(Collectors.toSet());
    gateways.forEach(gateway -> gateway.scheduler.applyDefinition(DEFINITION, ranks));
    kinds.forEach(kind -> scheduleArrival(kind, bursts));
    for (now = 0; now < endMillis; now++) {
      while (!events.isEmpty() && events.peek().atMillis() <= now) {
        events.poll().action().run();
      }
      engines.forEach(engine -> engine.advance(now));
      for (int i = 0; i < gateways.size(); i++) {
        if ((now + i) % TICK_MILLIS == 0) {
          gateways.get(i).scheduler.tick(Duration.ofMillis(now));
          gateways.get(i).reportSpeeds();
        }
        if ((now + i) % REPORT_INTERVAL_MILLIS == 0) {
          gateways.get(i).reportLoad();
        }
        if ((now + i) % APPLY_INTERVAL_MILLIS == 0) {
          gateways.get(i).applyPeerLoad();
        }
      }
    }
    return tallies;
  }

  /** Changes something at a time, or observes it. */
  void at(long atMillis, Runnable action) {
    schedule(atMillis, action);
  }

  SimulatedEngine engine(int index) {
    return engines.get(index);
  }

  /** Returns the limits that a gateway has learned, by engine. */
  List<Integer> limits(int gateway) {
    PoolCapacity capacity = gateways.get(gateway).scheduler.capacity().orElseThrow();
    List<Integer> result = new ArrayList<>();
    for (int i = 0; i < engines.size(); i++) {
      result.add(capacity.server(i + "@0", "", 0).limit());
    }
    return result;
  }

  /** Returns how many reports of speeds were sent, each to all peers. */
  long speedReports() {
    return speedReports;
  }

  private void schedule(double atMillis, Runnable action) {
    events.add(new Event(atMillis, eventCount++, action));
  }

  private void scheduleArrival(Kind kind, List<Burst> bursts) {
    double perMilli = kind.perSecond() / 1000;
    for (Burst burst : bursts) {
      boolean isNow = now >= burst.fromMillis() && now < burst.untilMillis();
      perMilli *= isNow && burst.rank() == kind.rank() ? burst.factor() : 1;
    }
    schedule(
        now - Math.log(1 - random.nextDouble()) / perMilli,
        () -> {
          new Caller(kind).ask();
          scheduleArrival(kind, bursts);
        });
  }

  /** Draws a length from a log-normal distribution that is cut off above. */
  private long draw(double mean) {
    double factor =
        Math.exp(
            LENGTH_SPREAD * ((RandomGenerator) random).nextGaussian()
                - LENGTH_SPREAD * LENGTH_SPREAD / 2);
    return Math.max(1, Math.round(mean * Math.min(MAX_LENGTH_FACTOR, factor)));
  }

  /** One caller and its request. */
  private final class Caller {
    private final Kind kind;
    private final long arrivedAt = now;
    private final long promptTokens;
    private final long expectedEvents;
    private final boolean isLarge;
    private int returns;

    Caller(Kind kind) {
      this.kind = kind;
      this.promptTokens = draw(kind.promptTokens());
      this.expectedEvents = draw(kind.events());
      this.isLarge = largeAccountShare > 0 && random.nextDouble() < largeAccountShare;
      count(tally -> tally.asked++);
    }

    private void count(Consumer<Tally> counter) {
      if (isCounted()) {
        counter.accept(tally());
        if (!isLarge) {
          counter.accept(talliesOfOthers.get(kind.rank()));
        }
      }
    }

    private boolean isCounted() {
      return arrivedAt >= countedFromMillis && arrivedAt < countedUntilMillis;
    }

    private Tally tally() {
      return tallies.get(kind.rank());
    }

    private long timeLeft() {
      return arrivedAt + kind.timeLimitMillis() - now;
    }

    void ask() {
      Gateway gateway = gateways.get(random.nextInt(gateways.size()));
      long maxWait = Math.min(kind.maxSlotWaitMillis(), timeLeft());
      PlacementRequest request =
          new PlacementRequest(
              kind.rank() + "-" + eventCount,
              new Urgency(0, kind.rank()),
              Duration.ofMillis(now),
              Duration.ofMillis(now + kind.objectiveMillis()),
              Duration.ofMillis(now + maxWait),
              promptTokens,
              expectedEvents,
              Duration.ofMillis(now + timeLeft()));
      if (kind.rank() > 0 && kind.expectsStreams()) {
        long untilRejection = kind.objectiveMillis() / QUEUE_TIME_DIVISOR;
        request.limitQueueTime(Duration.ofMillis(untilRejection - TICK_MILLIS));
      }
      if (isLarge) {
        request.assignAccount(LARGE_ACCOUNT);
      }
      gateway.submit(request, this);
    }

    void refused(Duration retryAfter) {
      if (returns++ < MAX_RETURNS) {
        schedule(now + Math.min(retryAfter.toMillis(), timeLeft() / RETURN_SHARE), this::ask);
      } else {
        count(tally -> tally.refused++);
      }
    }

    void served(long firstEventAt) {
      boolean isInTime = firstEventAt - arrivedAt <= kind.objectiveMillis();
      count(tally -> tally.inTime += isInTime ? 1 : 0);
      count(tally -> tally.late += isInTime ? 0 : 1);
    }
  }

  /** One gateway: its scheduler, and the runs that it started. */
  private final class Gateway implements PlacementEffects {
    private final PoolScheduler scheduler = new PoolScheduler(limits, this, random.split());
    private final Map<PlacementRequest, Caller> callers = new HashMap<>();
    private final Map<PlacementRequest, Runnable> cancellations = new HashMap<>();
    private Map<String, Integer> reportedRunning = Map.of();
    private Map<Urgency, Integer> reportedWaiting = Map.of();

    Gateway(List<BackendServer> servers) {
      scheduler.applyServers(servers, Duration.ZERO);
    }

    void submit(PlacementRequest request, Caller caller) {
      callers.put(request, caller);
      schedule(now + caller.kind.patienceMillis(), () -> callerLeaves(request));
      scheduler.submit(request, Duration.ofMillis(now));
    }

    private void callerLeaves(PlacementRequest request) {
      if (callers.remove(request) != null) {
        scheduler.withdraw(request);
        Runnable cancellation = cancellations.remove(request);
        if (cancellation != null) {
          cancellation.run();
        }
      }
    }

    /** Sends the own load to the peers. */
    void reportLoad() {
      add(running, reportedRunning, -1);
      add(waiting, reportedWaiting, -1);
      reportedRunning = scheduler.runningByServer();
      reportedWaiting = scheduler.waitingByUrgency();
      add(running, reportedRunning, 1);
      add(waiting, reportedWaiting, 1);
    }

    /** Sends what was learned about servers to the peers. */
    void reportSpeeds() {
      scheduler
          .capacity()
          .map(capacity -> capacity.takeReports(MAX_REPORTS, Duration.ofMillis(now)))
          .filter(reports -> !reports.isEmpty())
          .ifPresent(
              reports -> {
                speedReports += reports.size();
                String name = "gateway-" + gateways.indexOf(this);
                gateways.stream()
                    .filter(gateway -> gateway != this)
                    .map(gateway -> gateway.scheduler.capacity().orElseThrow())
                    .forEach(
                        peer ->
                            reports.forEach(
                                report -> peer.applyReport(name, report, Duration.ofMillis(now))));
              });
    }

    /** Applies the sum of what the peers have reported last. */
    void applyPeerLoad() {
      Map<String, Integer> runningAtPeers = new HashMap<>(running);
      TreeMap<Urgency, Integer> waitingAtPeers = new TreeMap<>(waiting);
      add(runningAtPeers, reportedRunning, -1);
      add(waitingAtPeers, reportedWaiting, -1);
      scheduler.applyPeerLoad(runningAtPeers, waitingAtPeers, Duration.ofMillis(now));
    }

    private static <K> void add(Map<K, Integer> sums, Map<K, Integer> counts, int sign) {
      counts.forEach((key, count) -> sums.merge(key, sign * count, Integer::sum));
    }

    @Override
    public void start(PlacementRequest request, BackendServer server, ServerEstimate estimate) {
      long startedAt = now;
      Caller caller = callers.get(request);
      SimulatedEngine engine = engines.get(Integer.parseInt(server.id()));
      long[] firstEventAt = {0};
      SimulatedEngine.Run run =
          new SimulatedEngine.Run(
              caller.promptTokens,
              caller.expectedEvents,
              () -> {
                firstEventAt[0] = now;
                callers.remove(request); // it does not leave any more
                scheduler.recordFirstPart(request, server.id(), Duration.ofMillis(now - startedAt));
              },
              () -> {
                callers.remove(request);
                cancellations.remove(request);
                if (caller.expectedEvents > 1) {
                  scheduler.recordEventGap(
                      server.id(),
                      Duration.ofMillis(now - firstEventAt[0])
                          .dividedBy(caller.expectedEvents - 1));
                }
                caller.served(firstEventAt[0]);
                scheduler.endAttempt(
                    request, server.id(), AttemptResult.SERVED, Duration.ofMillis(now));
              });
      long[] progressAt = {0};
      run.onProgress(
          () -> {
            double gap =
                (double) (now - Math.max(progressAt[0], firstEventAt[0]))
                    / SimulatedEngine.PROGRESS_EVENTS;
            progressAt[0] = now;
            scheduler
                .capacity()
                .ifPresent(
                    capacity ->
                        capacity.recordPartialGap(server.runId(), gap, Duration.ofMillis(now)));
          });
      engine.add(run);
      cancellations.put(
          request,
          () -> {
            engine.remove(run);
            scheduler.endAttempt(
                request, server.id(), AttemptResult.NEUTRAL, Duration.ofMillis(now));
          });
    }

    @Override
    public void refuse(PlacementRequest request, RefusalReason reason, Duration retryAfter) {
      Caller caller = callers.remove(request);
      if (caller != null) {
        long waited = now - request.arrivedAt().toMillis();
        caller.tally().rejections++;
        caller.tally().lateRejections += waited > caller.kind.objectiveMillis() / 8 ? 1 : 0;
        caller.refused(retryAfter);
      }
    }
  }
}
