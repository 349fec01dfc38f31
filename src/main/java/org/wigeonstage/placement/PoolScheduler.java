package org.wigeonstage.placement;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.wigeonstage.capacity.PoolCapacity;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.rollout.VersionFilter;
import org.wigeonstage.routes.PoolDefinition;

/**
 * Decides when the requests of one pool start, and on which backend server.
 *
 * <p>Backend servers run requests in order of arrival, not of urgency, so requests wait here for a
 * free slot. The most urgent ones start first; of those, the ones that can still be on time at the
 * servers' current speed. A server receives no more requests than it runs at once, except for a few
 * of route rank 0 (see {@link SchedulingLimits#maxQueuedAtServer}). Less urgent requests leave
 * slots free for more urgent ones, except for short ones that are started in such slots in limited
 * numbers (see {@link BackfillPolicy}). While many gateways wait for few free slots, each takes
 * only its part of them (see {@link SlotClaims}).
 *
 * <p>All times are readings of the monotonic clock. Not thread-safe.
 */
public final class PoolScheduler {

  private static final Duration DECAY_INTERVAL = Duration.ofMillis(500);

  /**
   * How often queues are searched for requests that will not start in time: within an eighth of
   * objectives from 0.4 s.
   */
  private static final Duration QUEUE_REVIEW_INTERVAL = Duration.ofMillis(40);

  private static final Duration NO_SERVER_RETRY_AFTER = Duration.ofSeconds(1);

  private final PlacementEffects effects;
  private final ServerSelector selector;
  private final WaitingRequests waitingRequests = new WaitingRequests();
  private final SlotReservations reservations;
  private final ServerStates servers;
  private final StartRateEstimator startRates;
  private final QueuePolicy queuePolicy;
  private final BackfillPolicy backfill = new BackfillPolicy();
  private final SlotClaims claims;
  private final RetryAfter retryAfter;
  private final RepeatableRun starts = new RepeatableRun();
  private int tokensPerEvent = 1;
  private Duration decayedAt = Duration.ZERO;
  private Duration queuesReviewedAt = Duration.ZERO;
  private Duration delayRecordedUntil = Duration.ZERO;

  /** Creates a scheduler without servers, to which all servers are equally near. */
  PoolScheduler(SchedulingLimits limits, PlacementEffects effects, RandomGenerator random) {
    this(limits, effects, random, Locality.NONE);
  }

  /**
   * Creates a scheduler without servers.
   *
   * @param limits the limits
   * @param effects carries out the decisions
   * @param random chooses among equivalent servers
   * @param locality what it costs to use servers in other failure domains
   */
  public PoolScheduler(
      SchedulingLimits limits,
      PlacementEffects effects,
      RandomGenerator random,
      Locality locality) {
    this.reservations = new SlotReservations(limits.reservedSlotsPerRank());
    this.servers = new ServerStates(limits, reservations);
    this.selector = new ServerSelector(random, locality, limits.learnsServerLimits());
    this.effects = effects;
    this.startRates = new StartRateEstimator(limits.rateWindow());
    this.queuePolicy = new QueuePolicy(waitingRequests, startRates);
    this.claims = new SlotClaims(random);
    this.retryAfter = new RetryAfter(random);
  }

  /**
   * Sets the filter that decides by versions which servers may get requests.
   *
   * @param filter the filter
   */
  public void setVersionFilter(VersionFilter filter) {
    servers.setVersionFilter(filter);
  }

  /**
   * Replaces the registered servers of the pool, and keeps the estimates for those that remain.
   *
   * @param registered the servers now registered
   * @param now the current time
   */
  public void applyServers(List<BackendServer> registered, Duration now) {
    servers.applyServers(registered);
    startWaiting(now);
  }

  /**
   * Replaces the load reported by peers.
   *
   * @param running the running requests by server
   * @param waiting the waiting requests by urgency
   * @param now the current time
   */
  public void applyPeerLoad(
      Map<String, Integer> running, NavigableMap<Urgency, Integer> waiting, Duration now) {
    servers.applyRunningAtPeers(running);
    waitingRequests.applyWaitingAtPeers(waiting);
    claims.assign(waitingRequests, urgency -> countUnclaimedSlots(urgency, now));
    startWaiting(now);
  }

  /**
   * Replaces the client accounts that use more than their fair share of the work.
   *
   * @param accounts the names of the accounts
   */
  public void applyAccountsOverShare(Set<String> accounts) {
    waitingRequests.applyAccountsOverShare(accounts);
  }

  /**
   * Returns how many requests of each urgency wait at this gateway.
   *
   * @return the counts by urgency
   */
  public Map<Urgency, Integer> waitingByUrgency() {
    return waitingRequests.countsByUrgency();
  }

  /**
   * Submits a request, which is then started, queued or refused. One that was placed before is not
   * refused for a long queue: its caller may have part of the response, and loses nothing by
   * waiting. One whose response has started is not refused for a lack of servers, either.
   *
   * @param request the request
   * @param now the current time
   */
  public void submit(PlacementRequest request, Duration now) {
    if (!request.hasResponseStarted() && !servers.isAnyAccepting()) {
      refuse(request, RefusalReason.NO_SERVER, NO_SERVER_RETRY_AFTER, now);
      return;
    }
    Duration expectedDuration = expectedDurationOf(request);
    backfill.recordSubmission(request, expectedDuration);
    reservations.recordArrival(request.urgency().routeRank(), expectedDuration);
    request.markQueued(now);
    if (queuePolicy.isTooLongFor(request, now)
        && !(waitingRequests.queue(request.urgency()).isEmpty() && canStartNow(request, now))) {
      Duration wait = queuePolicy.expectedWaitOfNext(request.urgency(), now);
      refuse(request, RefusalReason.QUEUE_TOO_LONG, wait, now);
      return;
    }
    waitingRequests.add(request);
    startWaiting(now);
  }

  /**
   * Removes a request from its queue, if it waits.
   *
   * @param request the request
   */
  public void withdraw(PlacementRequest request) {
    waitingRequests.remove(request);
  }

  /**
   * Records that the first part of a response has arrived.
   *
   * @param request the request
   * @param serverId the server that sent it
   * @param sinceStart the time since the request was sent to the server
   */
  public void recordFirstPart(PlacementRequest request, String serverId, Duration sinceStart) {
    servers.find(serverId).ifPresent(state -> state.recordFirstPart(request, sinceStart));
  }

  /**
   * Records how fast a server has generated the events of a stream.
   *
   * @param serverId the server
   * @param meanGap the mean time between two events
   */
  public void recordEventGap(String serverId, Duration meanGap) {
    servers.find(serverId).ifPresent(state -> state.recordEventGap(meanGap));
  }

  /**
   * Returns how long a server of average speed is expected to take for a complete response.
   *
   * @param promptTokens the length of the prompt
   * @param outputTokens the length of the response
   * @return the expected time
   */
  public Duration expectedDuration(long promptTokens, long outputTokens) {
    return servers.expectedDuration(promptTokens, (double) outputTokens / tokensPerEvent);
  }

  private Duration expectedDurationOf(PlacementRequest request) {
    return servers.expectedDuration(request.promptTokens(), request.expectedEvents());
  }

  /**
   * Returns what is learned about the speed of the servers.
   *
   * @return the learned figures, or empty if the limits don't demand it
   */
  public Optional<PoolCapacity> capacity() {
    return servers.capacity();
  }

  /**
   * Applies the definition of the pool.
   *
   * @param definition the definition
   */
  public void applyDefinition(PoolDefinition definition) {
    tokensPerEvent = Math.max(1, definition.tokensPerEvent());
  }

  /**
   * Applies the definition of the pool, and which routes lead to it.
   *
   * @param definition the definition
   * @param routeRanks the ranks of the routes; slots are left free only for these
   */
  public void applyDefinition(PoolDefinition definition, Set<Integer> routeRanks) {
    applyDefinition(definition);
    reservations.applyRouteRanks(routeRanks);
  }

  /**
   * Returns the number of events in a response of the given length.
   *
   * @param outputTokens the length of the response
   * @return the number of events
   */
  public long eventCount(long outputTokens) {
    return outputTokens / tokensPerEvent;
  }

  /**
   * Ends an attempt: frees its slot, and updates the state of the server with its result.
   *
   * @param request the request
   * @param serverId the server that had the request
   * @param result the result of the attempt
   * @param now the current time
   */
  public void endAttempt(
      PlacementRequest request, String serverId, AttemptResult result, Duration now) {
    servers
        .find(serverId)
        .ifPresent(
            state -> {
              state.recordEnd(request, result, now);
              claims.recordRelease();
            });
    startWaiting(now);
  }

  /**
   * Records that this process was late, because it had no processor time. Starts the requests that
   * waited for it, before any of them can be refused on behalf of the servers.
   *
   * @param from when its last periodic check was on time
   * @param now the current time
   */
  public void recordProcessDelay(Duration from, Duration now) {
    waitingRequests.extendQueueTimes(now.minus(Comparators.max(from, delayRecordedUntil)));
    delayRecordedUntil = now;
    startRates.excludeDelay(from, now);
    startWaiting(now);
  }

  /**
   * Decays the measurements of the servers, refuses waiting requests that have not started in time
   * or are not expected to, and starts others. To be called periodically.
   *
   * @param now the current time
   */
  public void tick(Duration now) {
    Duration sinceDecay = now.minus(decayedAt);
    if (sinceDecay.compareTo(DECAY_INTERVAL) >= 0) {
      servers.decay(sinceDecay);
      backfill.decay(sinceDecay);
      servers.updateReservations(sinceDecay);
      decayedAt = now;
    }
    servers.update(now);
    refuseExpired(now);
    if (now.minus(queuesReviewedAt).compareTo(QUEUE_REVIEW_INTERVAL) >= 0) {
      queuesReviewedAt = now;
      queuePolicy
          .removeHopeless(now)
          .forEach((request, wait) -> refuse(request, RefusalReason.QUEUE_TOO_LONG, wait, now));
    }
    startWaiting(now);
  }

  /**
   * Marks a server as suspect because it has become unresponsive to a running request.
   *
   * @param serverId the server
   * @param now the current time
   */
  public void markSuspect(String serverId, Duration now) {
    servers.find(serverId).ifPresent(state -> state.markSuspect(now));
  }

  /**
   * Returns whether a request can be expected to start on an untried server that is not suspect.
   *
   * @param request the request
   * @param startBy the latest useful start; if the queue takes longer, only free slots count
   * @param now the current time
   * @return whether a start is expected
   */
  public boolean canStartOnAnotherServer(PlacementRequest request, Duration startBy, Duration now) {
    boolean isInTime =
        now.plus(queuePolicy.expectedWait(request.urgency(), now)).compareTo(startBy) < 0;
    Collection<ServerState> candidates = isInTime ? servers.all() : availableServers(request, now);
    return candidates.stream()
        .filter(ServerState::acceptsRequests)
        .anyMatch(state -> !state.isSuspect(now) && !request.hasTried(state.server().id()));
  }

  /**
   * Returns whether a server is suspect, and so gets no new requests unless all are.
   *
   * @param serverId the server
   * @param now the current time
   * @return whether the server is suspect
   */
  public boolean isSuspect(String serverId, Duration now) {
    return servers.find(serverId).map(state -> state.isSuspect(now)).orElse(false);
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return the number of waiting requests
   */
  public int waitingCount() {
    return waitingRequests.count();
  }

  /**
   * Returns how many requests of this gateway run on each server.
   *
   * @return the counts by server
   */
  public Map<String, Integer> runningByServer() {
    return servers.runningByServer();
  }

  private void refuseExpired(Duration now) {
    waitingRequests
        .removeExpired(now)
        .forEach(
            request ->
                refuse(
                    request,
                    RefusalReason.WAITED_TOO_LONG,
                    queuePolicy.expectedWait(request.urgency(), now),
                    now));
  }

  private void refuse(PlacementRequest request, RefusalReason reason, Duration wait, Duration now) {
    backfill.recordRefusal(request);
    effects.refuse(request, reason, retryAfter.of(request, wait, now));
  }

  /** Returns whether a request would find a slot that no more urgent one waits for. */
  private boolean canStartNow(PlacementRequest request, Duration now) {
    return (!waitingRequests.isMoreUrgentWaiting(request.urgency())
            && !availableServers(request, now).isEmpty())
        || !reservedServers(request, now).isEmpty();
  }

  /**
   * Starts waiting requests in order of urgency. Once one finds no free slot, less urgent ones
   * start only in slots that it may not use. A start may end an attempt or submit a request before
   * it returns; the requests that this lets start are started by the outer call.
   */
  private void startWaiting(Duration now) {
    starts.run(() -> startWhileSlotsAreFree(now));
    waitingRequests
        .queues()
        .forEach((urgency, queue) -> startRates.updateWaiting(urgency, !queue.isEmpty(), now));
  }

  private void startWhileSlotsAreFree(Duration now) {
    boolean isMoreUrgentWaiting = false;
    for (List<PlacementRequest> queue : List.copyOf(waitingRequests.queues().values())) {
      if (!isMoreUrgentWaiting) {
        startInFreeSlots(queue, now);
      }
      startInReservedSlots(queue, now);
      isMoreUrgentWaiting |= !queue.isEmpty();
    }
  }

  private void startInFreeSlots(List<PlacementRequest> queue, Duration now) {
    while (!queue.isEmpty()) {
      PlacementRequest first = queue.get(0);
      Optional<ServerState> server = choose(first, now);
      if (server.isEmpty()) {
        return;
      }
      PlacementRequest next =
          WaitingRequests.firstOnTime(queue, now.plus(server.get().expectedTimeToFirstPart(first)));
      queue.remove(next);
      start(next, next == first ? server.get() : choose(next, now).orElse(server.get()), now);
    }
  }

  private void startInReservedSlots(List<PlacementRequest> queue, Duration now) {
    while (!queue.isEmpty()) {
      PlacementRequest first = queue.get(0);
      Optional<ServerState> server =
          selector.selectCheapest(reservedServers(first, now), first, now);
      if (server.isEmpty()) {
        return;
      }
      queue.remove(0);
      start(first, server.get(), now);
    }
  }

  private void start(PlacementRequest request, ServerState state, Duration now) {
    startRates.recordStart(request.urgency(), now);
    backfill.recordStart(request);
    claims.recordStart(request.urgency());
    ServerEstimate estimate = state.estimate(request);
    request.markTried(state.server().id());
    servers.recordStart(state, request, now);
    effects.start(request, state.server(), estimate);
  }

  /** Returns the cheapest server with a free slot, and prefers servers not tried before. */
  private Optional<ServerState> choose(PlacementRequest request, Duration now) {
    return selector.selectCheapest(availableServers(request, now), request, now);
  }

  /**
   * Returns the servers with a free slot, unless more urgent requests at peers need all slots, or
   * equally urgent ones compete for them and this gateway has taken its part. A request whose
   * account is over its share leaves one more slot free for those of other accounts.
   */
  private List<ServerState> availableServers(PlacementRequest request, Duration now) {
    Urgency urgency = request.urgency();
    int unclaimed = countUnclaimedSlots(urgency, now);
    boolean isContended =
        unclaimed <= waitingRequests.countAtPeers(urgency)
            && SlotClaims.areNeededFor(expectedDurationOf(request));
    return unclaimed > 0 && (!isContended || claims.mayStart(urgency))
        ? servers.withFreeSlots(
            urgency.routeRank(), waitingRequests.isOverShare(request) ? 1 : 0, now)
        : List.of();
  }

  /** Returns how many free slots are left if all more urgent requests at peers get one. */
  private int countUnclaimedSlots(Urgency urgency, Duration now) {
    return servers.countFreeSlots(urgency.routeRank(), now)
        - waitingRequests.countMoreUrgentAtPeers(urgency);
  }

  /**
   * Returns the servers on which a short request may use a slot that is reserved for more urgent
   * ones, and that no waiting request may use.
   */
  private List<ServerState> reservedServers(PlacementRequest request, Duration now) {
    return backfill
        .maxDuration(request, expectedDurationOf(request))
        .map(
            maxDuration ->
                servers.withReservedSlot(
                    request,
                    waitingRequests.moreUrgentRouteRanks(request.urgency()),
                    maxDuration,
                    now))
        .orElse(List.of());
  }
}
