package org.wigeonstage.gateway;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.common.RepeatedTask;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.fleet.ServerList;
import org.wigeonstage.forward.HeaderCodec;
import org.wigeonstage.handover.Message;
import org.wigeonstage.handover.WaitingCount;
import org.wigeonstage.http.PooledHttpClient;
import org.wigeonstage.placement.AttemptResult;
import org.wigeonstage.placement.Locality;
import org.wigeonstage.placement.PlacementRequest;
import org.wigeonstage.placement.PoolScheduler;
import org.wigeonstage.placement.SchedulingLimits;
import org.wigeonstage.placement.Urgency;
import org.wigeonstage.quota.AccountQuotas;
import org.wigeonstage.quota.QuotaTolerance;
import org.wigeonstage.quota.RetryLimits;
import org.wigeonstage.request.HeaderFields;
import org.wigeonstage.routes.Route;
import org.wigeonstage.routes.RoutingTable;

/**
 * Admits, places and finishes callers' requests. Its state and that of all open requests are
 * guarded by its lock; no method blocks while it holds the lock.
 */
final class GatewayCore {

  private final MonotonicClock clock;
  private final HeaderCodec headerCodec;
  private final PooledHttpClient client;
  private final MetricRegistry metrics;
  private final RequestMetrics requestMetrics;
  private final AccountQuotas quotas;
  private final SplittableRandom random = new SplittableRandom();
  private final RequestLogSampler logSampler;
  private final Map<String, PoolScheduler> pools = new HashMap<>();
  private final RetryBudgets retryBudgets;
  private final Map<PlacementRequest, ForwardedRequest> openRequests = new HashMap<>();
  private final RejectionSender rejectionSender;
  private final RequestGuard guard;
  private final PlacementExecutor placementExecutor;
  private final PendingResumptions pendingResumptions = new PendingResumptions(this);
  private final PromptHolds promptHolds;
  private final KnownServers knownServers;
  private int gatewayCount = 1;
  private boolean hasNonLeavingPeer;
  private boolean stoppedAccepting;
  private final ProcessDelay processDelay;
  private final Locality locality;
  private final CachedFairShares fairShares;
  private volatile @Nullable Duration leavingSince;

  GatewayCore(
      MonotonicClock clock,
      HeaderCodec headerCodec,
      PooledHttpClient client,
      MetricRegistry metrics,
      RetryLimits retryLimits,
      AccountQuotas quotas,
      RequestLogSampler logSampler,
      Locality locality) {
    this.locality = locality;
    this.clock = clock;
    this.headerCodec = headerCodec;
    this.client = client;
    this.metrics = metrics;
    this.requestMetrics = new RequestMetrics(metrics);
    this.rejectionSender = new RejectionSender(requestMetrics);
    this.guard = new RequestGuard(metrics);
    this.placementExecutor = new PlacementExecutor(openRequests, guard);
    this.retryBudgets = new RetryBudgets(retryLimits);
    this.logSampler = logSampler;
    this.processDelay = new ProcessDelay(clock.elapsed());
    this.quotas = quotas;
    this.fairShares = new CachedFairShares(quotas);
    this.promptHolds = new PromptHolds(clock, metrics, this::checkPrompts);
    this.knownServers = new KnownServers(clock, metrics);
  }

  /** Runs an action with the lock held. */
  synchronized void withLock(Runnable action) {
    action.run();
  }

  /** Returns a value that is computed with the lock held. */
  synchronized int readWithLock(IntSupplier reader) {
    return reader.getAsInt();
  }

  /** Returns the reading of the monotonic clock. */
  Duration now() {
    return clock.elapsed();
  }

  /** Returns the guard that runs the steps of requests. */
  RequestGuard guard() {
    return guard;
  }

  HeaderCodec headerCodec() {
    return headerCodec;
  }

  PooledHttpClient client() {
    return client;
  }

  AccountQuotas quotas() {
    return quotas;
  }

  PromptHolds promptHolds() {
    return promptHolds;
  }

  KnownServers knownServers() {
    return knownServers;
  }

  /** Ends or defers the open requests that must not be sent to a server any more. */
  private void checkPrompts() {
    // Streams that wait for the retry budget are checked when they are submitted again.
    openRequests.values().stream()
        .filter(request -> !pendingResumptions.contains(request))
        .toList()
        .forEach(request -> guard.run(request, "prompt", request::checkPrompt));
  }

  /** Decides again about the requests that wait because of their prompts. */
  private void submitDeferred() {
    Duration now = now();
    openRequests.values().stream()
        .filter(ForwardedRequest::isDeferred)
        .toList()
        .forEach(request -> guard.run(request, "submission", () -> submit(request, now)));
  }

  /** Admits a request that passed all filters, and submits it for placement. */
  void admit(InboundRequest inbound) {
    Route route = inbound.route();
    String poolName = route.selectPool(random.nextDouble());
    Duration arrivedAt = inbound.arrivedAt();
    Duration requestedLimit = inbound.fields().timeLimit().orElse(route.timeout());
    Duration timeLimit = Comparators.min(requestedLimit, route.timeout());
    long events = pool(poolName).eventCount(inbound.fields().expectedOutputTokens());
    PlacementRequest placement = WaitLimits.placementOf(inbound, timeLimit, events);
    Duration now = now();
    RequestLog log = new RequestLog(inbound.fields().requestId(), arrivedAt, clock);
    log.addAcceptance(inbound, placement, poolName, timeLimit);
    ForwardedRequest request =
        new ForwardedRequest(this, inbound, poolName, placement, arrivedAt.plus(timeLimit), log);
    openRequests.put(placement, request);
    guard.run(request, "submission", () -> submitAdmitted(request, now));
  }

  private void submitAdmitted(ForwardedRequest request, Duration now) {
    InboundRequest inbound = request.inbound();
    requestMetrics.recordArrival(inbound.exchange().arrival(), now);
    inbound.exchange().onDisconnect(() -> callerDisconnected(request));
    inbound
        .exchange()
        .onDelivered(
            offset -> withLock(() -> guard.run(request, "delivery", request::dataDelivered)));
    retryBudgets.recordRequest(request.poolName(), inbound.arrivedAt());
    submit(request, now());
  }

  private void submit(ForwardedRequest request, Duration now) {
    request.checkPrompt();
    if (!request.isFinished() && !request.isDeferred()) {
      catchUp(now);
      pool(request.poolName()).submit(request.placement(), now);
    }
  }

  /** Tells the pools of a delay of this process before they decide about requests. */
  private void catchUp(Duration now) {
    if (processDelay.isLate(now)) {
      Duration from = processDelay.lastTickAt();
      pools.forEach(
          (name, pool) ->
              RepeatedTask.runPart("delay of " + name, () -> pool.recordProcessDelay(from, now)));
    }
  }

  private void callerDisconnected(ForwardedRequest request) {
    Duration readAt = now();
    withLock(
        () -> {
          Duration handlingDelay = now().minus(readAt);
          requestMetrics.recordDisconnect(handlingDelay);
          guard.run(request, "disconnect", () -> request.callerDisconnected(handlingDelay));
        });
  }

  /** Submits a request for placement again after its attempt failed. */
  void resubmit(ForwardedRequest request) {
    guard.run(request, "submission", () -> submit(request, now()));
  }

  /** Submits an interrupted stream for placement as soon as the retry budget allows it. */
  void resubmitWithinBudget(ForwardedRequest request) {
    pendingResumptions.add(request);
  }

  /** Registers an open request by its current placement request instead of a previous one. */
  void replacePlacement(PlacementRequest previous, ForwardedRequest request) {
    openRequests.remove(previous);
    openRequests.put(request.placement(), request);
  }

  /** Withdraws a request from placement. */
  void withdraw(ForwardedRequest request) {
    pool(request.poolName()).withdraw(request.placement());
  }

  void recordFirstPart(
      ForwardedRequest request, BackendServer server, Duration time, Duration expectedTime) {
    requestMetrics.recordFirstPartExcess(time.minus(expectedTime));
    pool(request.poolName()).recordFirstPart(request.placement(), server.id(), time);
  }

  void recordEventGap(ForwardedRequest request, BackendServer server, Duration averageGap) {
    pool(request.poolName()).recordEventGap(server.id(), averageGap);
  }

  /** Records the time from the placement of a request until it was written to a connection. */
  void recordWriteTime(Duration writeTime) {
    requestMetrics.recordWriteTime(writeTime);
  }

  /** Reports the result of an attempt to the scheduler, which frees the attempt's slot. */
  void endAttempt(ForwardedRequest request, BackendServer server, AttemptResult result) {
    if (result == AttemptResult.UNREACHABLE || result == AttemptResult.NOT_CONNECTED) {
      client.closeIdle(server.address());
    }
    pool(request.poolName()).endAttempt(request.placement(), server.id(), result, now());
  }

  /** Increments a counter of what servers send. */
  void count(String counter) {
    metrics.counter(counter).inc();
  }

  /** Acquires a retry from the pool's budget; returns whether the budget allowed one. */
  boolean tryAcquireRetry(String poolName) {
    return retryBudgets.tryAcquireRetry(poolName, gatewayCount, now());
  }

  void recordServed(ForwardedRequest request, Duration timeToFirstPart, Duration totalDuration) {
    requestMetrics.recordServed(request, timeToFirstPart, totalDuration);
  }

  /**
   * Removes a request that has ended, writes its log, and refunds its quota units if it certainly
   * has not run. Has no effect if this was done before.
   */
  void finish(ForwardedRequest request, RequestOutcome outcome) {
    if (!openRequests.remove(request.placement(), request)) {
      return;
    }
    pendingResumptions.remove(request);
    try {
      if (outcome != RequestOutcome.SERVED && !request.mayHaveRun()) {
        refundQuota(request.inbound());
      }
      if (outcome == RequestOutcome.CALLER_GONE || outcome == RequestOutcome.BROKEN_OFF) {
        requestMetrics.recordIncomplete(request, outcome);
      }
    } finally {
      logSampler.write(request.log(), now());
    }
  }

  /** Refunds the quota units of a request that has not run. */
  void refundQuota(InboundRequest inbound) {
    inbound
        .account()
        .ifPresent(
            account ->
                quotas.refund(account.name(), inbound.quotaUnits(), inbound.readAt(), now()));
  }

  /** Sends a rejection to the caller. */
  void reject(InboundRequest inbound, Rejection rejection, RequestLog log) {
    rejectionSender.send(inbound, rejection, closeIfLeaving(rejection.headerFields()), log);
  }

  /** Rejects a request that did not pass a filter. */
  void rejectUnadmitted(InboundRequest inbound, Rejection rejection) {
    RequestLog log = new RequestLog(inbound.fields().requestId(), inbound.arrivedAt(), clock);
    reject(inbound, rejection, log);
    logSampler.write(log, now());
  }

  /** Adds a {@code Connection: close} field while this process is leaving. */
  HeaderFields closeIfLeaving(HeaderFields fields) {
    return isLeaving() ? fields.with("Connection", "close") : fields;
  }

  /** Marks this process as leaving. It accepts requests until {@link #stopAccepting}. */
  void startLeaving() {
    leavingSince = now();
  }

  boolean isLeaving() {
    return leavingSince != null;
  }

  /** Makes the filters reject all further requests. */
  void stopAccepting() {
    stoppedAccepting = true;
  }

  boolean hasStoppedAccepting() {
    return stoppedAccepting;
  }

  /** Returns whether a peer whose usage is known, perhaps a stopped one, is not leaving. */
  boolean hasNonLeavingPeer() {
    return hasNonLeavingPeer;
  }

  /** Returns how long this process has been leaving, or zero if it is not leaving. */
  Duration leavingTime() {
    Duration since = leavingSince;
    return since == null ? Duration.ZERO : now().minus(since);
  }

  /** Returns whether requests wait for a slot in any pool of the route. */
  boolean hasWaitingRequests(Route route) {
    return route.pools().stream()
        .anyMatch(weightedPool -> pool(weightedPool.pool()).waitingCount() > 0);
  }

  /** Returns the expected duration of a response, at the speed of the route's first pool. */
  Duration expectedDuration(InboundRequest inbound) {
    return pool(inbound.route().selectPool(0))
        .expectedDuration(inbound.fields().promptTokens(), inbound.fields().expectedOutputTokens());
  }

  /** Returns whether the list of backend servers is known. */
  boolean hasServerList() {
    return knownServers.hasList();
  }

  int openRequestCount() {
    return openRequests.size();
  }

  /**
   * Ends all open requests with a final response, because the process is about to exit. Waiting
   * requests are ended first, so that none of them starts in a slot that becomes free.
   */
  void endOpenRequests() {
    Rejection ifNotRun = LeavingFilter.rejection(hasNonLeavingPeer);
    List<ForwardedRequest> requests = List.copyOf(openRequests.values());
    requests.stream()
        .filter(ForwardedRequest::isWaiting)
        .forEach(request -> endAtShutdown(request, ifNotRun));
    requests.forEach(request -> endAtShutdown(request, ifNotRun));
  }

  private void endAtShutdown(ForwardedRequest request, Rejection ifNotRun) {
    guard.run(request, "shutdown", () -> request.endAtShutdown(ifNotRun));
  }

  /** Applies changed limits. */
  void applyLimits(RetryLimits newRetryLimits, QuotaTolerance tolerance) {
    retryBudgets.applyLimits(newRetryLimits);
    quotas.applyTolerance(tolerance, now());
  }

  /** Applies the client accounts and pools of a configuration. */
  void applyConfiguration(RoutingTable table) {
    quotas.applyAccounts(table.accounts(), now());
    table
        .pools()
        .forEach(pool -> pool(pool.name()).applyDefinition(pool, table.routeRanks(pool.name())));
  }

  /** Applies a new list of backend servers. */
  void applyServers(ServerList list) {
    knownServers.update(list);
    applyKnownServers();
  }

  /** Records that a run of a server has announced in a response that it is leaving. */
  void recordLeaving(String runId, Duration age, String source) {
    if (knownServers.recordLeaving(runId, age, source)) {
      applyKnownServers();
    }
  }

  private void applyKnownServers() {
    Map<String, List<BackendServer>> byPool =
        knownServers.servers().stream().collect(Collectors.groupingBy(BackendServer::pool));
    Duration now = now();
    Set<String> poolNames = new HashSet<>(pools.keySet());
    poolNames.addAll(byPool.keySet());
    poolNames.forEach(name -> pool(name).applyServers(byPool.getOrDefault(name, List.of()), now));
  }

  /** Sets the number of gateways that share the quotas and retry budgets, this one included. */
  void updateGatewayCount(int count) {
    gatewayCount = Math.max(1, count);
  }

  int gatewayCount() {
    return gatewayCount;
  }

  /**
   * Applies the load that the peers have reported.
   *
   * @param running the number of running requests by backend server
   * @param waiting the number of waiting requests by pool and urgency
   * @param hasNonLeavingPeer whether a peer whose usage is known, perhaps a stopped one, is not
   *     leaving
   */
  void applyPeerLoad(
      Map<String, Integer> running, List<WaitingCount> waiting, boolean hasNonLeavingPeer) {
    this.hasNonLeavingPeer = hasNonLeavingPeer;
    Duration now = now();
    Map<String, NavigableMap<Urgency, Integer>> byPool = GatewayLoads.waitingByPool(waiting);
    Set<String> overShare = fairShares.accountsOver(now);
    pools.forEach(
        (name, pool) -> {
          pool.applyAccountsOverShare(overShare);
          pool.applyPeerLoad(running, byPool.getOrDefault(name, new TreeMap<>()), now);
        });
  }

  /** Returns the complete load and quota usage of this gateway, to be sent to its peers. */
  Message.GatewayLoad load() {
    return GatewayLoads.of(pools, quotas, isLeaving(), now());
  }

  /**
   * Returns the time for which this process has been able to read its connections. It does not
   * advance while the process is suspended or has no processor time, so that backend servers are
   * not considered unresponsive because of that.
   */
  Duration activeTime() {
    return processDelay.activeTime();
  }

  /** Marks an unresponsive server as suspect, so that it gets no new requests. */
  void markSuspect(ForwardedRequest request, BackendServer server) {
    client.closeIdle(server.address());
    pool(request.poolName()).markSuspect(server.id(), now());
  }

  /** Returns whether the budget allows a retry, and another server is expected to accept it. */
  boolean canRetryOnAnotherServer(ForwardedRequest request, Duration startBy) {
    Duration now = now();
    return retryBudgets.allowsRetry(request.poolName(), gatewayCount, now)
        && pool(request.poolName()).canStartOnAnotherServer(request.placement(), startBy, now);
  }

  boolean isSuspect(ForwardedRequest request, BackendServer server) {
    return pool(request.poolName()).isSuspect(server.id(), now());
  }

  /** Runs the periodic checks of open requests, interrupted streams and queues. */
  void tick() {
    Duration now = now();
    catchUp(now);
    requestMetrics.recordTickInterval(processDelay.tick(now));
    List.copyOf(openRequests.values())
        .forEach(request -> guard.run(request, "check", () -> request.tick(now)));
    RepeatedTask.runPart("check of prompt holds", promptHolds::tick);
    RepeatedTask.runPart("deferred requests", this::submitDeferred);
    RepeatedTask.runPart("resumption of streams", () -> pendingResumptions.tick(now));
    pools.forEach((name, pool) -> RepeatedTask.runPart("check of " + name, () -> pool.tick(now)));
  }

  private PoolScheduler pool(String name) {
    return pools.computeIfAbsent(
        name,
        key -> new PoolScheduler(SchedulingLimits.DEFAULTS, placementExecutor, random, locality));
  }
}
