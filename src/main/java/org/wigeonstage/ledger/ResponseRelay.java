package org.wigeonstage.ledger;

import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.handover.LinkId;
import org.wigeonstage.handover.Message;
import org.wigeonstage.ledger.Execution.State;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.request.RequestId;

/**
 * Passes answers on to the entries that wait for them, and keeps what they may ask for again.
 *
 * <p>Reading from the backend server stops while an entry is behind by the stream window.
 */
final class ResponseRelay {

  /** Makes a message about a submission. */
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

  void broadcast(Execution execution, MessageFactory factory) {
    for (AttachedSubmission submission : execution.submissions().values()) {
      LinkId link = submission.link();
      if (link != null) {
        effects.send(link, factory.create(submission.id()));
      }
    }
  }

  /** Sends what has happened to a request so far, and the answer from an offset on. */
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

  void append(Execution execution, byte[] data) {
    ResponseBuffer.Part part = execution.responseBuffer().append(data);
    broadcast(execution, target -> new Message.Chunk(target, part.offset(), part.data()));
    if (!execution.isPaused() && unacknowledgedBytes(execution) >= limits.streamWindowBytes()) {
      execution.paused(true);
      effects.pauseReading(execution.id());
    }
  }

  void end(Execution execution) {
    broadcast(execution, target -> endMessage(execution, target));
  }

  private static Message.End endMessage(Execution execution, RequestId id) {
    return new Message.End(id, execution.responseBuffer().length(), execution.outcome());
  }

  /** Drops the bytes that every submission has, and reads on where they held it up. */
  void discardAcknowledged(Execution execution) {
    boolean keepAll =
        execution.isKeyed()
            && execution.responseBuffer().length() <= limits.maxKeyedResponseBytes();
    if (!keepAll) {
      execution.responseBuffer().discardBefore(execution.lowestAcknowledgedOffset());
    }
    if (execution.isPaused() && unacknowledgedBytes(execution) < limits.streamWindowBytes() / 2) {
      execution.paused(false);
      effects.resumeReading(execution.id());
    }
  }

  private static long unacknowledgedBytes(Execution execution) {
    return execution.responseBuffer().length() - execution.lowestAcknowledgedOffset();
  }
}
