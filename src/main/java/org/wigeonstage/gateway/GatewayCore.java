package org.wigeonstage.gateway;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.Comparators;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.Json;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.fleet.ServerList;
import org.wigeonstage.forward.HeaderCodec;
import org.wigeonstage.handover.Message;
import org.wigeonstage.handover.WaitingCount;
import org.wigeonstage.http.Arrival;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.PooledHttpClient;
import org.wigeonstage.http.ProblemDetails;
import org.wigeonstage.placement.AttemptResult;
import org.wigeonstage.placement.PlacementEffects;
import org.wigeonstage.placement.PlacementRequest;
import org.wigeonstage.placement.PoolScheduler;
import org.wigeonstage.placement.RefusalReason;
import org.wigeonstage.placement.SchedulingLimits;
import org.wigeonstage.placement.ServerEstimate;
import org.wigeonstage.placement.Urgency;
import org.wigeonstage.quota.AccountQuotas;
import org.wigeonstage.quota.QuotaTolerance;
import org.wigeonstage.quota.RetryBudget;
import org.wigeonstage.quota.RetryLimits;
import org.wigeonstage.request.HeaderFields;
import org.wigeonstage.routes.Route;
import org.wigeonstage.routes.RoutingTable;

/**
 * Ties the decisions on requests together. All of its state, and that of open requests, belongs to
 * whoever holds its lock; nothing in it blocks.
 */
final class GatewayCore {

  /** A tick that comes later, after two intervals, shows that the process had no processor. */
  private static final Duration MAX_WATCHED = Duration.ofMillis(40);

  /** What a late tick adds to the watched time, so that silence is noticed in the end. */
  private static final Duration LATE_TICK = Duration.ofMillis(5);

  private final MonotonicClock clock;
  private final HeaderCodec dialect;
  private final PooledHttpClient client;
  private final MetricRegistry metrics;
  private final RequestMetrics requestMetrics;
  private RetryLimits retryLimits;
  private final AccountQuotas quotas;
  private final SplittableRandom random = new SplittableRandom();
  private final RequestLogSampler sampler;
  private final Map<String, PoolScheduler> pools = new HashMap<>();
  private final Map<String, RetryBudget> budgets = new HashMap<>();
  private final Map<PlacementRequest, ForwardedRequest> open = new HashMap<>();
  private final PendingRetries awaitedRepeats = new PendingRetries(this);
  private final ServerListTracker knownServers = new ServerListTracker();
  private int gateways = 1;
  private boolean othersStay;
  private boolean stopped;
  private Duration watchedTime = Duration.ZERO;
  private Duration tickedAt;
  private volatile @Nullable Duration leavingSince;

  GatewayCore(
      MonotonicClock clock,
      HeaderCodec dialect,
      PooledHttpClient client,
      MetricRegistry metrics,
      RetryLimits retryLimits,
      AccountQuotas quotas,
      RequestLogSampler sampler) {
    this.clock = clock;
    this.dialect = dialect;
    this.client = client;
    this.metrics = metrics;
    this.requestMetrics = new RequestMetrics(metrics);
    this.retryLimits = retryLimits;
    this.sampler = sampler;
    this.tickedAt = clock.elapsed();
    this.quotas = quotas;
  }

  /** Runs an action with the state to itself. */
  synchronized void run(Runnable action) {
    action.run();
  }

  /** Reads the state, with it to itself. */
  synchronized int read(IntSupplier reading) {
    return reading.getAsInt();
  }

  Duration now() {
    return clock.elapsed();
  }

  HeaderCodec dialect() {
    return dialect;
  }

  PooledHttpClient client() {
    return client;
  }

  AccountQuotas quotas() {
    return quotas;
  }

  /** Takes a request that passed all filters. */
  void accept(InboundRequest call) {
    Route route = call.route();
    String pool = route.selectPool(random.nextDouble());
    Duration arrivedAt = call.arrivedAt();
    Duration allowed = call.fields().deadline().orElse(route.timeout());
    Duration limit = Comparators.min(allowed, route.timeout());
    PlacementRequest placed =
        new PlacementRequest(
            call.fields().requestId(),
            new Urgency(
                call.account().map(account -> account.priority()).orElse(0), route.priority()),
            arrivedAt,
            arrivedAt.plus(WaitLimits.forTimelyFirstPart(route)),
            arrivedAt.plus(WaitLimits.forAPlace(route, limit)),
            call.fields().promptTokens(),
            pool(pool).eventCount(call.fields().expectedOutputTokens()),
            arrivedAt.plus(limit));
    Arrival arrival = call.exchange().arrival();
    Duration now = now();
    RequestLog trail = new RequestLog(call.fields().requestId(), arrivedAt, clock);
    trail
        .step("accepted")
        .put("connectionAgeMillis", now.minus(arrival.connectedAt()).toMillis())
        .put("unreadMillis", arrival.maxReadDelay().toMillis())
        .put("sinceReadMillis", now.minus(arrival.readAt()).toMillis())
        .put("route", route.name())
        .put("kind", route.kind().name())
        .put("pool", pool)
        .put("account", call.account().map(account -> account.name()).orElse(""))
        .put("accountRank", placed.urgency().accountRank())
        .put("routeRank", placed.urgency().routeRank())
        .put("lengthHint", call.fields().expectedOutputTokens())
        .put("promptTokens", call.fields().promptTokens())
        .put("outputTokens", call.fields().maxOutputTokens())
        .put("configurationVersion", call.table().version())
        .put("timeLimitMillis", limit.toMillis());
    ForwardedRequest request =
        new ForwardedRequest(this, call, pool, placed, arrivedAt.plus(limit), trail);
    open.put(placed, request);
    requestMetrics.arrived(arrival, now);
    call.exchange().onDisconnect(() -> callerGone(request));
    call.exchange().onDelivered(offset -> run(request::consumed));
    budget(pool).recordRequest(arrivedAt);
    pool(pool).submit(placed, arrivedAt);
  }

  private void callerGone(ForwardedRequest request) {
    Duration readAt = now();
    run(
        () -> {
          Duration unhandled = now().minus(readAt);
          requestMetrics.callerEnded(unhandled);
          request.callerGone(unhandled);
        });
  }

  /** Places a request again whose attempt ended. */
  void submitAgain(ForwardedRequest request) {
    pool(request.pool()).submit(request.placed(), now());
  }

  /** Places a begun stream again as soon as the retry budget allows it. */
  void submitWithinBudget(ForwardedRequest request) {
    awaitedRepeats.add(request);
  }

  /** Takes over the new placement of an open request. */
  void replace(PlacementRequest before, ForwardedRequest request) {
    open.remove(before);
    open.put(request.placed(), request);
  }

  void withdraw(ForwardedRequest request) {
    pool(request.pool()).withdraw(request.placed());
  }

  void firstPart(ForwardedRequest request, BackendServer server, Duration sinceStart) {
    pool(request.pool()).recordFirstPart(request.placed(), server.id(), sinceStart);
  }

  void eventPace(ForwardedRequest request, BackendServer server, Duration perEvent) {
    pool(request.pool()).recordEventGap(server.id(), perEvent);
  }

  /** Notes how long it took from the placement of a request until its bytes had left. */
  void attemptWritten(Duration sinceStart) {
    requestMetrics.written(sinceStart);
  }

  void attemptReported(ForwardedRequest request, BackendServer server, AttemptResult result) {
    if (result == AttemptResult.UNREACHABLE) {
      client.closeIdle(Endpoint.parse(server.address()));
    }
    pool(request.pool()).endAttempt(request.placed(), server.id(), result, now());
  }

  /**
   * Notes that a server closes its connections, which it does when it leaves and at other times.
   */
  void serverClosesConnections(BackendServer server) {
    metrics.counter("servers.closing").inc();
  }

  boolean tryRepeat(String pool) {
    return budget(pool).tryAcquireRetry(gateways, now());
  }

  /** Notes how long the answer to a request took. */
  void served(ForwardedRequest request, Duration firstPart, Duration whole) {
    requestMetrics.served(request, firstPart, whole);
  }

  /** Forgets a request whose answer is given. */
  void finished(ForwardedRequest request, RequestOutcome outcome) {
    open.remove(request.placed());
    awaitedRepeats.remove(request);
    InboundRequest call = request.call();
    if (outcome != RequestOutcome.SERVED && !request.mayHaveRun() && call.account().isPresent()) {
      quotas.refund(call.account().get().name(), call.quotaUnits(), call.arrivedAt(), now());
    }
    if (outcome == RequestOutcome.CALLER_GONE || outcome == RequestOutcome.BROKEN_OFF) {
      requestMetrics.ended(request, outcome);
    }
    sampler.write(request.trail(), now());
  }

  /** Gives an answer of the gateway's own. */
  void answer(InboundRequest call, Rejection rejection, RequestLog trail) {
    trail
        .step("rejected")
        .put("code", rejection.code().text())
        .put("detail", rejection.detail())
        .notable();
    HeaderFields fields = HeaderFields.NONE.with("Content-Type", ProblemDetails.MEDIA_TYPE);
    if (rejection.retryAfter().isPresent()) {
      double seconds = rejection.retryAfter().get().toMillis() / 1000.0;
      fields = fields.with("Retry-After", Double.toString(seconds));
    }
    requestMetrics.rejected(call, rejection.code());
    call.exchange()
        .respond(
            rejection.code().httpStatus(),
            closing(fields),
            Json.write(ProblemDetails.json(rejection.code(), rejection.detail()))
                .getBytes(StandardCharsets.UTF_8));
  }

  /** Ends a request that did not pass a filter. */
  void rejectEarly(InboundRequest call, Rejection rejection) {
    RequestLog trail = new RequestLog(call.fields().requestId(), call.arrivedAt(), clock);
    answer(call, rejection, trail);
    sampler.write(trail, now());
  }

  /** Asks the caller to close its connection while this process leaves. */
  HeaderFields closing(HeaderFields fields) {
    return isLeaving() ? fields.with("Connection", "close") : fields;
  }

  void leave() {
    leavingSince = now();
  }

  boolean isLeaving() {
    return leavingSince != null;
  }

  /** Refuses all requests from now on. */
  void stopTaking() {
    stopped = true;
  }

  boolean hasStopped() {
    return stopped;
  }

  /** Returns whether another gateway was heard lately that is not leaving. */
  boolean othersStay() {
    return othersStay;
  }

  /** Returns how long the process has been leaving, or zero. */
  Duration leavingFor() {
    Duration since = leavingSince;
    return since == null ? Duration.ZERO : now().minus(since);
  }

  /** Returns whether requests wait for the pools of a route. */
  boolean isCongested(Route route) {
    return route.pools().stream().anyMatch(part -> pool(part.pool()).waitingCount() > 0);
  }

  /** Returns how long the whole answer to a request is expected to take. */
  Duration expectedDuration(InboundRequest call) {
    return pool(call.route().selectPool(0))
        .expectedDuration(call.fields().promptTokens(), call.fields().expectedOutputTokens());
  }

  /** Returns whether the list of backend servers is known. */
  boolean knowsServers() {
    return knownServers.isKnown();
  }

  int openRequests() {
    return open.size();
  }

  /**
   * Gives all open requests their final answers, because the process ends. Those that wait go
   * first, so that none of them is started in a place that becomes free.
   */
  void giveUp() {
    Rejection ifNotRun = LeavingFilter.refusal(othersStay);
    List<ForwardedRequest> requests = List.copyOf(open.values());
    requests.stream().filter(ForwardedRequest::isWaiting).forEach(each -> each.giveUp(ifNotRun));
    requests.forEach(each -> each.giveUp(ifNotRun));
  }

  /** Takes over changed limits. */
  void limits(RetryLimits retries, QuotaTolerance tolerance) {
    if (!retries.equals(retryLimits)) {
      retryLimits = retries;
      budgets.clear();
    }
    quotas.applyTolerance(tolerance, now());
  }

  /** Takes over a configuration. */
  void configure(RoutingTable table) {
    quotas.applyAccounts(table.accounts(), now());
    table.pools().forEach(definition -> pool(definition.name()).applyDefinition(definition));
  }

  /** Takes over the list of backend servers. */
  void update(ServerList list) {
    knownServers.update(list);
    Map<String, List<BackendServer>> byPool =
        list.servers().stream().collect(Collectors.groupingBy(BackendServer::pool));
    Duration now = now();
    Set<String> names = new HashSet<>(pools.keySet());
    names.addAll(byPool.keySet());
    names.forEach(name -> pool(name).applyServers(byPool.getOrDefault(name, List.of()), now));
  }

  /** Sets the number of gateways that share limits, this one included. */
  void gateways(int count) {
    gateways = Math.max(1, count);
  }

  int gateways() {
    return gateways;
  }

  /** Takes over what runs and waits at the other gateways. */
  void loadElsewhere(Map<String, Integer> running, List<WaitingCount> waiting, boolean othersStay) {
    this.othersStay = othersStay;
    Duration now = now();
    Map<String, NavigableMap<Urgency, Integer>> byPool = new HashMap<>();
    for (WaitingCount part : waiting) {
      byPool
          .computeIfAbsent(part.pool(), key -> new TreeMap<>())
          .merge(new Urgency(part.accountRank(), part.routeRank()), part.count(), Integer::sum);
    }
    pools.forEach(
        (name, pool) ->
            pool.applyPeerLoad(running, byPool.getOrDefault(name, new TreeMap<>()), now));
  }

  /** Returns what this gateway runs and has used, for its peers. */
  Message.GatewayLoad load() {
    Map<String, Integer> running = new HashMap<>();
    pools.values().forEach(pool -> running.putAll(pool.runningByServer()));
    List<WaitingCount> waiting = new ArrayList<>();
    pools.forEach(
        (name, pool) ->
            pool.waitingByUrgency()
                .forEach(
                    (urgency, count) ->
                        waiting.add(
                            new WaitingCount(
                                name, urgency.accountRank(), urgency.routeRank(), count))));
    Duration now = now();
    boolean canTell = quotas.knowsEarlierUsage(now);
    return new Message.GatewayLoad(
        isLeaving(),
        running,
        waiting,
        quotas.ownUsage(),
        canTell ? quotas.recentUsage(now) : Map.of(),
        canTell ? quotas.burstUsed(now) : Map.of());
  }

  /**
   * Returns the time that passed while this process could hear its connections. It stands still
   * while the process is suspended or has no processor, so that others are not blamed for that.
   */
  Duration watchedTime() {
    return watchedTime;
  }

  /** Has a server avoided that has fallen silent. */
  void suspect(ForwardedRequest request, BackendServer server) {
    client.closeIdle(Endpoint.parse(server.address()));
    pool(request.pool()).markSuspect(server.id(), now());
  }

  /** Returns whether the budget allows a repeat, and another server is expected to take it. */
  boolean canRepeatElsewhere(ForwardedRequest request, Duration startBy) {
    Duration now = now();
    return budget(request.pool()).allowsRetry(gateways, now)
        && pool(request.pool()).canStartOnAnotherServer(request.placed(), startBy, now);
  }

  boolean isSuspect(ForwardedRequest request, BackendServer server) {
    return pool(request.pool()).isSuspect(server.id(), now());
  }

  /** Applies the passage of time. */
  void tick() {
    Duration now = now();
    Duration sinceTick = now.minus(tickedAt);
    boolean isOnTime = sinceTick.compareTo(MAX_WATCHED) <= 0;
    watchedTime = watchedTime.plus(isOnTime ? sinceTick : LATE_TICK);
    requestMetrics.ticked(sinceTick);
    tickedAt = now;
    List.copyOf(open.values()).forEach(request -> request.tick(now));
    awaitedRepeats.tick(now);
    pools.values().forEach(pool -> pool.tick(now));
  }

  private PoolScheduler pool(String name) {
    return pools.computeIfAbsent(
        name, key -> new PoolScheduler(SchedulingLimits.DEFAULTS, new Starter(), random));
  }

  private RetryBudget budget(String pool) {
    return budgets.computeIfAbsent(pool, key -> new RetryBudget(retryLimits));
  }

  /** Carries out decisions of the schedulers. */
  private final class Starter implements PlacementEffects {

    @Override
    public void start(PlacementRequest placed, BackendServer server, ServerEstimate estimate) {
      Optional.ofNullable(open.get(placed)).ifPresent(request -> request.start(server, estimate));
    }

    @Override
    public void refuse(PlacementRequest placed, RefusalReason reason, Duration retryAfter) {
      ForwardedRequest request = open.get(placed);
      if (request != null) {
        request.refuse(reason, retryAfter);
      }
    }
  }
}
