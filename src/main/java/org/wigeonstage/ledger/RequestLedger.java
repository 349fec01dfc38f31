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
 * Decides what one agent does with the requests that entries offer to it.
 *
 * <p>The ledger is the only place that may dispatch a request to the agent's backend server. It
 * dispatches a request at most once, and it answers {@link Message.Refused} only for requests that
 * it has not dispatched and never will. It does no input or output and starts no thread; callers
 * must not use it from several threads at once.
 */
public final class RequestLedger {

  private static final Duration AGING_INTERVAL = Duration.ofSeconds(1);

  private final long incarnation;
  private final LedgerLimits limits;
  private final TierQueue queue;
  private final DispatchWindow window;
  private final InstantSource clock;
  private final LedgerEffects effects;
  private final ResponseRelay relay;
  private final RetentionPolicy ages;
  private final Tombstones tombstones;
  private final PermanentRefusals refusals;
  private final ExecutionTable table;
  private final KeyHomes homes;
  private final OfferValidator rules;
  private final LoadTracker load = new LoadTracker();
  private Instant lastAging = Instant.EPOCH;
  private boolean leaving;

  /**
   * Creates an empty ledger.
   *
   * @param agent the agent's name
   * @param incarnation a number that grows with each start of the agent
   * @param limits the bounds of what is remembered
   * @param queue where requests wait
   * @param window how many requests may run at once
   * @param clock the wall clock
   * @param effects what the ledger's decisions cause
   */
  public RequestLedger(
      String agent,
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
    this.ages = new RetentionPolicy(limits);
    this.relay = new ResponseRelay(limits, effects);
    this.tombstones = new Tombstones(limits.maxRecords());
    this.refusals = new PermanentRefusals(limits, clock, tombstones, effects);
    this.table = new ExecutionTable(new KeyHistory(clock.instant(), limits));
    this.homes = new KeyHomes(agent);
    this.rules = new OfferValidator(incarnation, limits, clock, tombstones, table, homes);
  }

  /**
   * Takes a message from an entry. Messages that only agents send are ignored.
   *
   * @param link the connection it came on
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
    if (table.submission(offer.id()) != null) {
      return;
    }
    Optional<Message> answer = rules.replyToInvalid(offer);
    if (answer.isPresent()) {
      effects.send(link, answer.get());
      return;
    }
    IdempotencyKey key = offer.spec().key();
    Execution earlier = key == null ? null : table.keys().find(key);
    if (key != null && earlier != null) {
      join(link, offer, key, earlier);
    } else {
      enqueue(link, offer);
    }
  }

  private void join(LinkId link, Message.Offer offer, IdempotencyKey key, Execution earlier) {
    RequestId id = offer.id();
    IdempotencyKey earlierKey = earlier.spec().key();
    if (earlierKey != null && !earlierKey.bodyDigest().equals(key.bodyDigest())) {
      reject(link, id, ErrorCode.KEY_CONFLICT, Outcome.NOT_RUN);
    } else if (!earlier.responseBuffer().holdsFrom(0)) {
      reject(link, id, ErrorCode.ANSWER_NOT_HELD, earlier.outcome());
    } else {
      AttachedSubmission submission = table.attach(link, offer, earlier);
      promote(earlier, offer.spec().tier());
      relay.replay(submission, 0);
    }
  }

  /** Moves a waiting request to the highest tier among its submissions. */
  private void promote(Execution execution, Tier tier) {
    if (execution.state() == State.QUEUED && tier.isAbove(execution.spec().tier())) {
      execution.raiseTo(tier);
      queue.raiseTier(execution.id(), tier);
    }
  }

  private void reject(LinkId link, RequestId id, ErrorCode reason, Outcome outcome) {
    effects.send(link, new Message.Rejected(id, reason, outcome));
  }

  private void enqueue(LinkId link, Message.Offer offer) {
    Optional<Message> answer = rules.replyToInadmissible(offer, leaving || offer.joinOnly());
    if (answer.isPresent()) {
      effects.send(link, answer.get());
      return;
    }
    WaitingRequest waiting =
        new WaitingRequest(
            offer.id(),
            offer.spec().account(),
            offer.spec().tier(),
            offer.spec().cost(),
            offer.startBy());
    EnqueueResult admission = queue.add(waiting);
    if (!admission.accepted()) {
      effects.send(link, new Message.Refused(offer.id(), ErrorCode.OVERLOADED));
      return;
    }
    WaitingRequest displaced = admission.displaced();
    if (displaced != null) {
      refuseQueued(displaced.id(), ErrorCode.OVERLOADED);
    }
    Execution execution = new Execution(offer.id(), offer.spec(), clock.instant());
    table.add(execution);
    table.attach(link, offer, execution);
    effects.send(link, new Message.Accepted(offer.id()));
    dispatchWaiting();
  }

  /** Ends a request that waits, which is no longer in the queue, without having run it. */
  private void refuseQueued(RequestId id, ErrorCode reason) {
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
    AttachedSubmission submission = table.submission(withdraw.id());
    if (submission == null) {
      refusals.replyToUnknown(link, withdraw.id(), withdraw.startBy());
      return;
    }
    Execution execution = submission.execution();
    boolean shared = execution.submissions().size() > 1;
    if (execution.state() != State.QUEUED || shared) {
      effects.send(link, new Message.Dispatched(withdraw.id()));
      return;
    }
    if (refusals.refuse(link, withdraw.id(), withdraw.startBy(), ErrorCode.WITHDRAWN)) {
      queue.remove(execution.id());
      table.remove(execution);
    }
  }

  private void resume(LinkId link, Message.Resume resume) {
    if (resume.incarnation() != incarnation) {
      reject(link, resume.id(), ErrorCode.ANSWER_LOST, Outcome.UNKNOWN);
      return;
    }
    AttachedSubmission submission = table.submission(resume.id());
    if (submission == null) {
      refusals.replyToUnknown(link, resume.id(), resume.startBy());
      return;
    }
    submission.attach(link);
    submission.execution().orphanedAt(null);
    relay.replay(submission, resume.offset());
  }

  private void acknowledge(Message.Acknowledge acknowledge) {
    AttachedSubmission submission = table.submission(acknowledge.id());
    if (submission == null) {
      return;
    }
    submission.acknowledge(acknowledge.offset());
    relay.discardAcknowledged(submission.execution());
  }

  private void cancel(RequestId id) {
    AttachedSubmission submission = table.submission(id);
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

  /** Ends a dispatched request that nobody waits for, unless it must be let run. */
  private void abandon(Execution execution) {
    boolean mustRun = execution.spec().nonIdempotent() || execution.isKeyed();
    if (execution.state() == State.RUNNING && !mustRun) {
      effects.cancel(execution.id());
      return;
    }
    execution.acknowledgeAll();
    relay.discardAcknowledged(execution);
  }

  /**
   * Notes that a connection to an entry has closed. Its requests wait for a new one.
   *
   * @param link the connection
   */
  public void linkClosed(LinkId link) {
    for (AttachedSubmission submission : table.submissions()) {
      if (submission.isAttachedTo(link)) {
        submission.detach();
        markIfOrphaned(submission.execution());
      }
    }
  }

  private void markIfOrphaned(Execution execution) {
    if (!execution.hasLink() && execution.orphanedAt() == null) {
      execution.orphanedAt(clock.instant());
    }
  }

  /**
   * Notes that this agent has no predecessor, so that every idempotency key is known to be new
   * until it is used here.
   */
  public void markKeyHistoryComplete() {
    table.keys().complete();
  }

  /**
   * Takes over who decides about idempotency keys.
   *
   * @param members the names of the agents of this agent's pool
   * @param change the last change of the members, or null
   */
  public void updateMembers(List<String> members, @Nullable MemberChange change) {
    homes.update(members, change);
  }

  /** Takes no new requests from now on, and gives back those that wait. */
  public void leave() {
    leaving = true;
    queue.removeAll().forEach(waiting -> refuseQueued(waiting.id(), ErrorCode.LEAVING));
  }

  /**
   * Tells whether nothing waits, runs or has an answer that an entry still needs.
   *
   * @return whether the agent may exit
   */
  public boolean isDrained() {
    return queue.size() == 0 && table.executions().stream().noneMatch(Execution::isStillNeeded);
  }

  /** Applies the passage of time. */
  public void tick() {
    Instant now = clock.instant();
    queue.removeExpired(now).forEach(waiting -> refuseQueued(waiting.id(), ErrorCode.DEADLINE));
    tombstones.removeExpired(now);
    if (RetentionPolicy.hasPassed(lastAging, AGING_INTERVAL, now)) {
      lastAging = now;
      table.executions().forEach(execution -> age(execution, now));
    }
    dispatchWaiting();
  }

  private void age(Execution execution, Instant now) {
    if (execution.state() == State.FINISHED) {
      removeIfOld(execution, now);
      return;
    }
    if (!ages.isOrphanExpired(execution, now)) {
      return;
    }
    if (execution.state() == State.QUEUED) {
      queue.remove(execution.id());
      refuseQueued(execution.id(), ErrorCode.CALLER_GONE);
    } else {
      abandon(execution);
    }
  }

  private void removeIfOld(Execution execution, Instant now) {
    if (!ages.isResponseExpired(execution, now)) {
      return;
    }
    execution.responseBuffer().clear();
    if (ages.isRecordExpired(execution, now)) {
      table.remove(execution);
    }
  }

  private void dispatchWaiting() {
    Instant now = clock.instant();
    Optional<WaitingRequest> next = queue.peek();
    while (next.isPresent() && window.hasRoom(next.get().tier(), load.running())) {
      WaitingRequest waiting = next.get();
      queue.remove(waiting.id());
      if (waiting.startBy().isBefore(now)) {
        refuseQueued(waiting.id(), ErrorCode.DEADLINE);
      } else {
        dispatch(waiting.id(), now);
      }
      next = queue.peek();
    }
  }

  private void dispatch(RequestId id, Instant now) {
    Execution execution = table.get(id);
    Instant queuedAt = execution.changedAt();
    execution.run(now);
    load.started(execution.spec().cost());
    relay.broadcast(execution, Message.Dispatched::new);
    effects.dispatch(id, execution.spec(), queuedAt);
    execution.dropRequestBody();
  }

  /**
   * Takes the beginning of the backend server's answer.
   *
   * @param id the request
   * @param status the HTTP status
   * @param contentType the media type, or null
   */
  public void responseStarted(RequestId id, int status, @Nullable String contentType) {
    Execution execution = table.findRunning(id);
    if (execution == null) {
      return;
    }
    execution.head(new Message.Head(id, status, contentType));
    execution.lastPartAt(clock.instant());
    relay.broadcast(execution, target -> new Message.Head(target, status, contentType));
  }

  /**
   * Takes a part of the backend server's answer.
   *
   * @param id the request
   * @param data the bytes, not to be modified afterwards
   */
  public void responsePartReceived(RequestId id, byte[] data) {
    Execution execution = table.findRunning(id);
    if (execution == null || data.length == 0) {
      return;
    }
    Instant now = clock.instant();
    if (execution.responseBuffer().length() > 0) {
      window.observeGap(Duration.between(execution.lastPartAt(), now), load.running());
    }
    execution.lastPartAt(now);
    relay.append(execution, data);
  }

  /**
   * Takes the end of the backend server's answer.
   *
   * @param id the request
   * @param outcome {@code COMPLETED}, or {@code UNKNOWN} where the answer broke off
   */
  public void responseEnded(RequestId id, Outcome outcome) {
    Execution execution = table.findRunning(id);
    if (execution == null) {
      return;
    }
    execution.finish(outcome, clock.instant());
    load.ended(execution.spec().cost());
    load.done(execution.spec().cost(), clock.instant());
    relay.end(execution);
    dispatchWaiting();
  }

  /**
   * Notes that a dispatched request provably never reached the backend server.
   *
   * @param id the request
   */
  public void dispatchFailed(RequestId id) {
    Execution execution = table.findRunning(id);
    if (execution == null) {
      return;
    }
    load.ended(execution.spec().cost());
    refuseQueued(id, ErrorCode.NO_BACKEND_SERVER);
    dispatchWaiting();
  }

  /**
   * Returns the agent's load.
   *
   * @return a report for heartbeats
   */
  public LoadReport loadReport() {
    return load.report(queue, window);
  }

  /**
   * Returns the number of requests that are remembered.
   *
   * @return the number, refused ones included
   */
  public int recordCount() {
    return table.size() + tombstones.size();
  }
}
