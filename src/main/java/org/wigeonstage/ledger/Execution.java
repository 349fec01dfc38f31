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

/**
 * A request that the agent has accepted, from the queue to its retained response, with the
 * submissions that share it. Its identifier is that of its first submission.
 */
final class Execution {

  /** The states of an execution, in order. */
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
  private Instant stateChangedAt;
  private Instant lastPartAt;
  private @Nullable Instant orphanedAt;
  private boolean readingPaused;

  Execution(RequestId id, RequestSpec spec, Instant now) {
    this.id = id;
    this.spec = spec;
    this.stateChangedAt = now;
    this.lastPartAt = now;
  }

  RequestId id() {
    return id;
  }

  RequestSpec spec() {
    return spec;
  }

  /** Returns the modifiable submissions of this execution, in the order of their arrival. */
  Map<RequestId, AttachedSubmission> submissions() {
    return submissions;
  }

  ResponseBuffer responseBuffer() {
    return responseBuffer;
  }

  State state() {
    return state;
  }

  /** Returns whether the request has an idempotency key. */
  boolean isKeyed() {
    return spec.key() != null;
  }

  void markRunning(Instant now) {
    state = State.RUNNING;
    stateChangedAt = now;
    lastPartAt = now;
  }

  void raiseTier(Tier tier) {
    spec = spec.withTier(tier);
  }

  /** Releases the request body, which is not needed after the dispatch. */
  void dropRequestBody() {
    spec = spec.withoutBody();
  }

  void markFinished(Outcome result, Instant now) {
    state = State.FINISHED;
    outcome = result;
    stateChangedAt = now;
  }

  Outcome outcome() {
    return outcome;
  }

  Message.@Nullable Head head() {
    return head;
  }

  void updateHead(Message.Head newHead) {
    head = newHead;
  }

  Instant stateChangedAt() {
    return stateChangedAt;
  }

  /** Returns when the last part of the response arrived, or the dispatch time before the first. */
  Instant lastPartAt() {
    return lastPartAt;
  }

  void updateLastPartAt(Instant now) {
    lastPartAt = now;
  }

  /** Returns since when no submission has had a link, or null if one has. */
  @Nullable Instant orphanedAt() {
    return orphanedAt;
  }

  void updateOrphanedAt(@Nullable Instant time) {
    orphanedAt = time;
  }

  /** Returns whether reading the response from the backend server is paused. */
  boolean isReadingPaused() {
    return readingPaused;
  }

  void updateReadingPaused(boolean value) {
    readingPaused = value;
  }

  boolean hasLink() {
    return submissions.values().stream().anyMatch(submission -> submission.link() != null);
  }

  /** Returns the offset up to which all submissions have acknowledged the response body. */
  long lowestAcknowledgedOffset() {
    return submissions.values().stream()
        .mapToLong(AttachedSubmission::acknowledgedOffset)
        .min()
        .orElse(0);
  }

  /** Marks the entire response as acknowledged, so that no byte is kept for any submission. */
  void acknowledgeAll() {
    submissions.values().forEach(submission -> submission.acknowledge(Long.MAX_VALUE));
  }

  /**
   * Returns whether the request has not finished, or an entry with a link has not acknowledged the
   * entire response.
   */
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
