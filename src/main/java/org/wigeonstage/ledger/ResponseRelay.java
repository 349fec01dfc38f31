package org.wigeonstage.ledger;

import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.handover.LinkId;
import org.wigeonstage.handover.Message;
import org.wigeonstage.ledger.Execution.State;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.request.RequestId;

/**
 * Sends responses to the entries that wait for them, and keeps the bytes that an entry may request
 * again.
 *
 * <p>Pauses reading from the backend server when the slowest submission has the maximum number of
 * unacknowledged bytes, and resumes it when fewer than half of them are unacknowledged.
 */
final class ResponseRelay {

  /** Creates a message for a submission. */
  @FunctionalInterface
  interface MessageFactory {
    Message create(RequestId id);
  }

  private final LedgerLimits limits;
  private final LedgerEffects effects;

  ResponseRelay(LedgerLimits limits, LedgerEffects effects) {
    this.limits = limits;
    this.effects = effects;
  }

  /** Sends a message to the entry of each submission that has a link. */
  void broadcast(Execution execution, MessageFactory factory) {
    for (AttachedSubmission submission : execution.submissions().values()) {
      LinkId link = submission.link();
      if (link != null) {
        effects.send(link, factory.create(submission.id()));
      }
    }
  }

  /** Sends the current state of a request, and its response body from an offset on. */
  void replay(AttachedSubmission submission, long offset) {
    LinkId link = submission.link();
    if (link == null) {
      return;
    }
    Execution execution = submission.execution();
    RequestId id = submission.id();
    if (execution.state() == State.QUEUED) {
      effects.send(link, new Message.Accepted(id));
      return;
    }
    effects.send(link, new Message.Dispatched(id));
    if (!execution.responseBuffer().holdsFrom(offset)) {
      effects.send(link, new Message.Rejected(id, ErrorCode.ANSWER_LOST, Outcome.UNKNOWN));
      return;
    }
    submission.acknowledge(offset);
    replayResponse(execution, id, link, offset);
  }

  private void replayResponse(Execution execution, RequestId id, LinkId link, long offset) {
    Message.Head head = execution.head();
    if (head != null) {
      effects.send(link, new Message.Head(id, head.status(), head.contentType()));
    }
    for (ResponseBuffer.Part part : execution.responseBuffer().partsFrom(offset)) {
      effects.send(link, new Message.Chunk(id, part.offset(), part.data()));
    }
    if (execution.state() == State.FINISHED) {
      effects.send(link, endMessage(execution, id));
    }
  }

  /**
   * Stores and sends a part of the response, and pauses reading at the maximum of unacknowledged
   * bytes.
   */
  void relayPart(Execution execution, byte[] data) {
    ResponseBuffer.Part part = execution.responseBuffer().append(data);
    broadcast(execution, id -> new Message.Chunk(id, part.offset(), part.data()));
    if (!execution.isReadingPaused()
        && unacknowledgedBytes(execution) >= limits.maxUnacknowledgedBytes()) {
      execution.updateReadingPaused(true);
      effects.pauseReading(execution.id());
    }
  }

  /** Sends the end of the response. */
  void relayEnd(Execution execution) {
    broadcast(execution, id -> endMessage(execution, id));
  }

  private static Message.End endMessage(Execution execution, RequestId id) {
    return new Message.End(id, execution.responseBuffer().length(), execution.outcome());
  }

  /**
   * Discards the bytes that all submissions have acknowledged, and resumes reading if fewer than
   * half of the maximum are unacknowledged. The response of a request with an idempotency key is
   * kept in full up to a size limit, for later submissions with the same key.
   */
  void discardAcknowledged(Execution execution) {
    boolean keepAll =
        execution.isKeyed()
            && execution.responseBuffer().length() <= limits.maxKeyedResponseBytes();
    if (!keepAll) {
      execution.responseBuffer().discardBefore(execution.lowestAcknowledgedOffset());
    }
    if (execution.isReadingPaused()
        && unacknowledgedBytes(execution) < limits.maxUnacknowledgedBytes() / 2) {
      execution.updateReadingPaused(false);
      effects.resumeReading(execution.id());
    }
  }

  private static long unacknowledgedBytes(Execution execution) {
    return execution.responseBuffer().length() - execution.lowestAcknowledgedOffset();
  }
}
