package org.wigeonstage.ledger;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.handover.LinkId;
import org.wigeonstage.handover.LoadReport;
import org.wigeonstage.handover.Message;
import org.wigeonstage.ledger.Execution.State;
import org.wigeonstage.queue.DispatchWindow;
import org.wigeonstage.queue.EnqueueResult;
import org.wigeonstage.queue.TierQueue;
import org.wigeonstage.queue.WaitingRequest;
import org.wigeonstage.request.IdempotencyKey;
import org.wigeonstage.request.MemberChange;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.Tier;

/**
 * Decides what one agent does with the requests that entries offer to it, and records them, so that
 * each decision takes into account what has happened to the request before.
 *
 * <p>Only the ledger dispatches requests. It dispatches a request at most once, and replies {@link
 * Message.Refused} only if the request has not reached the backend server and never will. A {@link
 * Message.Rejected} states instead what is known about the outcome.
 *
 * <p>The ledger performs no I/O and starts no threads. It is not safe for use by several threads.
 */
public final class RequestLedger {

  private static final Duration RETENTION_CHECK_INTERVAL = Duration.ofSeconds(1);

  private final long incarnation;
  private final LedgerLimits limits;
  private final TierQueue queue;
  private final DispatchWindow window;
  private final InstantSource clock;
  private final LedgerEffects effects;
  private final ResponseRelay relay;
  private final RetentionPolicy retention;
  private final Tombstones tombstones;
  private final TombstonedRefusals refusals;
  private final ExecutionTable table;
  private final KeyHomes keyHomes;
  private final OfferValidator validator;
  private final LoadTracker loadTracker = new LoadTracker();
  private Instant lastRetentionCheck = Instant.EPOCH;
  private boolean leaving;

  /**
   * Creates an empty ledger.
   *
   * @param agentName the name of the agent
   * @param incarnation a number that grows with each start of the agent
   * @param limits size limits and retention periods
   * @param queue the queue of requests that are not dispatched yet
   * @param window the number of requests that may run at once
   * @param clock the wall clock
   * @param effects the actions that carry out the decisions of the ledger
   */
  public RequestLedger(
      String agentName,
      long incarnation,
      LedgerLimits limits,
      TierQueue queue,
      DispatchWindow window,
      InstantSource clock,
      LedgerEffects effects) {
    this.incarnation = incarnation;
    this.limits = limits;
    this.queue = queue;
    this.window = window;
    this.clock = clock;
    this.effects = effects;
    this.retention = new RetentionPolicy(limits);
    this.relay = new ResponseRelay(limits, effects);
    this.tombstones = new Tombstones(limits.maxSubmissions());
    this.refusals = new TombstonedRefusals(limits, clock, tombstones, effects);
    this.table = new ExecutionTable(new KeyHistory(clock.instant(), limits));
    this.keyHomes = new KeyHomes(agentName);
    this.validator = new OfferValidator(incarnation, limits, clock, tombstones, table, keyHomes);
  }

  /**
   * Processes a message from an entry. Messages that only agents send are ignored.
   *
   * @param link the link on which the message arrived
   * @param message the message
   */
  public void receive(LinkId link, Message message) {
    if (message instanceof Message.Offer offer) {
      offer(link, offer);
    } else if (message instanceof Message.Withdraw withdraw) {
      withdraw(link, withdraw);
    } else if (message instanceof Message.Resume resume) {
      resume(link, resume);
    } else if (message instanceof Message.Acknowledge acknowledge) {
      acknowledge(acknowledge);
    } else if (message instanceof Message.Cancel cancel) {
      cancel(cancel.id());
    }
  }

  private void offer(LinkId link, Message.Offer offer) {
    if (table.findSubmission(offer.id()) != null) {
      return;
    }
    Optional<Message> reply = validator.refuseIfStaleOrTombstoned(offer);
    if (reply.isPresent()) {
      effects.send(link, reply.get());
      return;
    }
    IdempotencyKey key = offer.spec().key();
    Execution earlier = key == null ? null : table.keyHistory().find(key);
    if (key != null && earlier != null) {
      attachToEarlier(link, offer, key, earlier);
    } else {
      enqueue(link, offer);
    }
  }

  /** Attaches the submission of an offer to the earlier execution with the same key. */
  private void attachToEarlier(
      LinkId link, Message.Offer offer, IdempotencyKey key, Execution earlier) {
    RequestId id = offer.id();
    IdempotencyKey earlierKey = earlier.spec().key();
    if (earlierKey != null && !earlierKey.requestDigest().equals(key.requestDigest())) {
      reject(link, id, ErrorCode.KEY_CONFLICT, Outcome.NOT_RUN);
    } else if (!earlier.responseBuffer().holdsFrom(0)) {
      reject(link, id, ErrorCode.ANSWER_NOT_HELD, earlier.outcome());
    } else {
      AttachedSubmission submission = table.attach(link, offer, earlier);
      raiseTier(earlier, offer.spec().tier());
      relay.replay(submission, 0);
    }
  }

  /** Raises the tier of a queued request to the highest tier among its submissions. */
  private void raiseTier(Execution execution, Tier tier) {
    if (execution.state() == State.QUEUED && tier.isAbove(execution.spec().tier())) {
      execution.raiseTier(tier);
      queue.raiseTier(execution.id(), tier);
    }
  }

  private void reject(LinkId link, RequestId id, ErrorCode reason, Outcome outcome) {
    effects.send(link, new Message.Rejected(id, reason, outcome));
  }

  private void enqueue(LinkId link, Message.Offer offer) {
    Optional<Message> reply = validator.replyIfNotQueueable(offer, leaving || offer.attachOnly());
    if (reply.isPresent()) {
      effects.send(link, reply.get());
      return;
    }
    WaitingRequest waiting =
        new WaitingRequest(
            offer.id(),
            offer.spec().account(),
            offer.spec().tier(),
            offer.spec().cost(),
            offer.startBy());
    EnqueueResult result = queue.add(waiting);
    if (!result.accepted()) {
      effects.send(link, new Message.Refused(offer.id(), ErrorCode.OVERLOADED));
      return;
    }
    WaitingRequest displaced = result.displaced();
    if (displaced != null) {
      refuseSubmissions(displaced.id(), ErrorCode.OVERLOADED);
    }
    Execution execution = new Execution(offer.id(), offer.spec(), clock.instant());
    table.add(execution);
    table.attach(link, offer, execution);
    effects.send(link, new Message.Accepted(offer.id()));
    dispatchWaiting();
  }

  /**
   * Removes a request that has not reached the backend server, and refuses its submissions. A
   * submission without a link gets a tombstone instead; its entry learns of the refusal when it
   * resumes or withdraws the request, as of an unknown one.
   */
  private void refuseSubmissions(RequestId id, ErrorCode reason) {
    Execution execution = table.find(id);
    if (execution == null) {
      return;
    }
    for (AttachedSubmission submission : List.copyOf(execution.submissions().values())) {
      LinkId link = submission.link();
      if (link == null) {
        tombstones.add(submission.id(), limits.tombstoneExpiry(submission.startBy()));
      } else {
        effects.send(link, new Message.Refused(submission.id(), reason));
      }
    }
    table.remove(execution);
  }

  private void withdraw(LinkId link, Message.Withdraw withdraw) {
    if (withdraw.incarnation() != incarnation) {
      return;
    }
    AttachedSubmission submission = table.findSubmission(withdraw.id());
    if (submission == null) {
      refusals.replyToUnknown(link, withdraw.id(), withdraw.startBy());
      return;
    }
    Execution execution = submission.execution();
    boolean isShared = execution.submissions().size() > 1;
    if (execution.state() != State.QUEUED || isShared) {
      // A shared request can't be withdrawn either: the other submissions still need it.
      effects.send(link, new Message.Dispatched(withdraw.id()));
      return;
    }
    if (refusals.tryRefuse(link, withdraw.id(), withdraw.startBy(), ErrorCode.WITHDRAWN)) {
      queue.remove(execution.id());
      table.remove(execution);
    }
  }

  private void resume(LinkId link, Message.Resume resume) {
    if (resume.incarnation() != incarnation) {
      reject(link, resume.id(), ErrorCode.ANSWER_LOST, Outcome.UNKNOWN);
      return;
    }
    AttachedSubmission submission = table.findSubmission(resume.id());
    if (submission == null) {
      refusals.replyToUnknown(link, resume.id(), resume.startBy());
      return;
    }
    submission.updateLink(link);
    submission.execution().updateOrphanedAt(null);
    relay.replay(submission, resume.offset());
  }

  private void acknowledge(Message.Acknowledge acknowledge) {
    AttachedSubmission submission = table.findSubmission(acknowledge.id());
    if (submission == null) {
      return;
    }
    submission.acknowledge(acknowledge.offset());
    relay.discardAcknowledged(submission.execution());
  }

  private void cancel(RequestId id) {
    AttachedSubmission submission = table.findSubmission(id);
    if (submission == null) {
      return;
    }
    Execution execution = submission.execution();
    if (execution.submissions().size() > 1) {
      detach(submission);
      return;
    }
    if (execution.state() == State.QUEUED) {
      queue.remove(execution.id());
      // It doesn't matter if no tombstone can be stored: the entry is not sent a refusal.
      tombstones.add(id, limits.tombstoneExpiry(submission.startBy()));
      table.remove(execution);
    } else {
      abandon(execution);
    }
  }

  private void detach(AttachedSubmission submission) {
    Execution execution = submission.execution();
    table.detach(submission);
    relay.discardAcknowledged(execution);
  }

  /**
   * Cancels a running request whose response is no longer needed. A request that is not idempotent
   * or has an idempotency key runs to its end, and its response counts as acknowledged.
   */
  private void abandon(Execution execution) {
    boolean mustComplete = execution.spec().nonIdempotent() || execution.isKeyed();
    if (execution.state() == State.RUNNING && !mustComplete) {
      effects.cancel(execution.id());
      return;
    }
    execution.acknowledgeAll();
    relay.discardAcknowledged(execution);
  }

  /**
   * Handles the end of a link. The entry may resume its requests on a new link within the orphan
   * retention period.
   *
   * @param link the link
   */
  public void linkClosed(LinkId link) {
    for (AttachedSubmission submission : table.submissions()) {
      if (submission.usesLink(link)) {
        submission.clearLink();
        markIfOrphaned(submission.execution());
      }
    }
  }

  private void markIfOrphaned(Execution execution) {
    if (!execution.hasLink() && execution.orphanedAt() == null) {
      execution.updateOrphanedAt(clock.instant());
    }
  }

  /**
   * Marks the history of idempotency keys as complete, because this agent has no earlier
   * incarnation that could have used a key.
   */
  public void markKeyHistoryComplete() {
    table.keyHistory().markComplete();
  }

  /**
   * Updates the members of the pool, which determine the homes of idempotency keys.
   *
   * @param members the names of the agents of the pool of this agent
   * @param change the last change of the members, or null if they have never changed
   */
  public void updateMembers(List<String> members, @Nullable MemberChange change) {
    keyHomes.updateMembers(members, change);
  }

  /** Stops accepting new requests, and refuses the queued ones. */
  public void leave() {
    leaving = true;
    queue.removeAll().forEach(waiting -> refuseSubmissions(waiting.id(), ErrorCode.LEAVING));
  }

  /**
   * Returns whether no request is queued or running, and no entry with a link still needs a
   * response.
   *
   * @return whether the agent may exit
   */
  public boolean isDrained() {
    return queue.size() == 0 && table.executions().stream().noneMatch(Execution::isStillNeeded);
  }

  /** Runs the periodic checks of deadlines and retention periods, and dispatches requests. */
  public void tick() {
    Instant now = clock.instant();
    queue
        .removeExpired(now)
        .forEach(waiting -> refuseSubmissions(waiting.id(), ErrorCode.DEADLINE));
    tombstones.removeExpired(now);
    if (RetentionPolicy.hasPassed(lastRetentionCheck, RETENTION_CHECK_INTERVAL, now)) {
      lastRetentionCheck = now;
      table.executions().forEach(execution -> applyRetention(execution, now));
    }
    dispatchWaiting();
  }

  private void applyRetention(Execution execution, Instant now) {
    if (execution.state() == State.FINISHED) {
      removeIfExpired(execution, now);
      return;
    }
    if (!retention.isExpiredOrphan(execution, now)) {
      return;
    }
    if (execution.state() == State.QUEUED) {
      queue.remove(execution.id());
      refuseSubmissions(execution.id(), ErrorCode.CALLER_GONE);
    } else {
      abandon(execution);
    }
  }

  private void removeIfExpired(Execution execution, Instant now) {
    if (!retention.isResponseExpired(execution, now)) {
      return;
    }
    execution.responseBuffer().clear();
    if (retention.isRemovable(execution, now)) {
      table.remove(execution);
    }
  }

  private void dispatchWaiting() {
    Instant now = clock.instant();
    Optional<WaitingRequest> next = queue.peek();
    while (next.isPresent()
        && window.hasFreeSlot(next.get().tier(), loadTracker.runningRequests())) {
      WaitingRequest waiting = next.get();
      queue.remove(waiting.id());
      if (waiting.startBy().isBefore(now)) {
        refuseSubmissions(waiting.id(), ErrorCode.DEADLINE);
      } else {
        dispatch(waiting.id(), now);
      }
      next = queue.peek();
    }
  }

  private void dispatch(RequestId id, Instant now) {
    Execution execution = table.get(id);
    Instant queuedAt = execution.stateChangedAt();
    execution.markRunning(now);
    loadTracker.addRunning(execution.spec().cost());
    relay.broadcast(execution, Message.Dispatched::new);
    effects.dispatch(id, execution.spec(), queuedAt);
    execution.dropRequestBody();
  }

  /**
   * Relays the head of the response of the backend server.
   *
   * @param id the request
   * @param status the HTTP status code
   * @param contentType the media type, or null if the response has none
   */
  public void responseStarted(RequestId id, int status, @Nullable String contentType) {
    Execution execution = table.findRunning(id);
    if (execution == null) {
      return;
    }
    execution.updateHead(new Message.Head(id, status, contentType));
    execution.updateLastPartAt(clock.instant());
    relay.broadcast(execution, submissionId -> new Message.Head(submissionId, status, contentType));
  }

  /**
   * Relays a part of the response body of the backend server.
   *
   * @param id the request
   * @param data the bytes, which must not be modified afterwards
   */
  public void responsePartReceived(RequestId id, byte[] data) {
    Execution execution = table.findRunning(id);
    if (execution == null || data.length == 0) {
      return;
    }
    Instant now = clock.instant();
    if (execution.responseBuffer().length() > 0) {
      window.observeGap(
          Duration.between(execution.lastPartAt(), now), loadTracker.runningRequests());
    }
    execution.updateLastPartAt(now);
    relay.relayPart(execution, data);
  }

  /**
   * Relays the end of the response of the backend server.
   *
   * @param id the request
   * @param outcome {@code COMPLETED}, or {@code UNKNOWN} if the response is truncated
   */
  public void responseEnded(RequestId id, Outcome outcome) {
    Execution execution = table.findRunning(id);
    if (execution == null) {
      return;
    }
    execution.markFinished(outcome, clock.instant());
    loadTracker.removeRunning(execution.spec().cost());
    loadTracker.addCompleted(execution.spec().cost(), clock.instant());
    relay.relayEnd(execution);
    dispatchWaiting();
  }

  /**
   * Refuses a dispatched request that has certainly not reached the backend server.
   *
   * @param id the request
   */
  public void dispatchFailed(RequestId id) {
    Execution execution = table.findRunning(id);
    if (execution == null) {
      return;
    }
    loadTracker.removeRunning(execution.spec().cost());
    refuseSubmissions(id, ErrorCode.NO_BACKEND_SERVER);
    dispatchWaiting();
  }

  /**
   * Returns the load of the agent.
   *
   * @return the report for the next heartbeat
   */
  public LoadReport loadReport() {
    return loadTracker.createReport(queue, window);
  }

  /**
   * Returns the number of submissions and tombstones that the ledger keeps.
   *
   * @return the number of submissions and tombstones
   */
  public int submissionAndTombstoneCount() {
    return table.submissionCount() + tombstones.size();
  }
}
