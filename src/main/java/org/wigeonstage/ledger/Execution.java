package org.wigeonstage.ledger;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.handover.Message;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.RequestSpec;
import org.wigeonstage.request.Tier;

/** A request that the agent has taken, with the submissions that wait for its answer. */
final class Execution {

  /** The steps of a request at its agent. */
  enum State {
    QUEUED,
    RUNNING,
    FINISHED
  }

  private final RequestId id;
  private RequestSpec spec;
  private final Map<RequestId, AttachedSubmission> submissions = new LinkedHashMap<>();
  private final ResponseBuffer responseBuffer = new ResponseBuffer();
  private State state = State.QUEUED;
  private Message.@Nullable Head head;
  private Outcome outcome = Outcome.UNKNOWN;
  private Instant changedAt;
  private Instant lastPartAt;
  private @Nullable Instant orphanedAt;
  private boolean paused;

  Execution(RequestId id, RequestSpec spec, Instant now) {
    this.id = id;
    this.spec = spec;
    this.changedAt = now;
    this.lastPartAt = now;
  }

  RequestId id() {
    return id;
  }

  RequestSpec spec() {
    return spec;
  }

  Map<RequestId, AttachedSubmission> submissions() {
    return submissions;
  }

  ResponseBuffer responseBuffer() {
    return responseBuffer;
  }

  State state() {
    return state;
  }

  boolean isKeyed() {
    return spec.key() != null;
  }

  void run(Instant now) {
    state = State.RUNNING;
    changedAt = now;
    lastPartAt = now;
  }

  /** Gives the request a higher tier. */
  void raiseTo(Tier tier) {
    spec = spec.withTier(tier);
  }

  /** Drops the body, which the backend server has. */
  void dropRequestBody() {
    spec = spec.withoutBody();
  }

  void finish(Outcome result, Instant now) {
    state = State.FINISHED;
    outcome = result;
    changedAt = now;
  }

  Outcome outcome() {
    return outcome;
  }

  Message.@Nullable Head head() {
    return head;
  }

  void head(Message.Head newHead) {
    head = newHead;
  }

  Instant changedAt() {
    return changedAt;
  }

  Instant lastPartAt() {
    return lastPartAt;
  }

  void lastPartAt(Instant now) {
    lastPartAt = now;
  }

  @Nullable Instant orphanedAt() {
    return orphanedAt;
  }

  void orphanedAt(@Nullable Instant time) {
    orphanedAt = time;
  }

  boolean isPaused() {
    return paused;
  }

  void paused(boolean value) {
    paused = value;
  }

  boolean hasLink() {
    return submissions.values().stream().anyMatch(submission -> submission.link() != null);
  }

  /** Returns the least position that a submission with a connection still needs. */
  long lowestAcknowledgedOffset() {
    return submissions.values().stream()
        .mapToLong(AttachedSubmission::acknowledgedOffset)
        .min()
        .orElse(0);
  }

  /** Notes that no submission needs any byte of the answer. */
  void acknowledgeAll() {
    submissions.values().forEach(submission -> submission.acknowledge(Long.MAX_VALUE));
  }

  /** Tells whether the request is not finished, or an entry has not taken its whole answer. */
  boolean isStillNeeded() {
    if (state != State.FINISHED) {
      return true;
    }
    return submissions.values().stream()
        .anyMatch(
            submission ->
                submission.link() != null
                    && submission.acknowledgedOffset() < responseBuffer.length());
  }
}
