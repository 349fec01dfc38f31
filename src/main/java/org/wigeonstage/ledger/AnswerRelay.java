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
final class AnswerRelay {

  /** Makes a message about a submission. */
  @FunctionalInterface
  interface MessageFactory {
    Message create(RequestId id);
  }

  private final LedgerLimits limits;
  private final LedgerEffects effects;

  AnswerRelay(LedgerLimits limits, LedgerEffects effects) {
    this.limits = limits;
    this.effects = effects;
  }

  void broadcast(Execution execution, MessageFactory factory) {
    for (Attachment attachment : execution.attachments().values()) {
      LinkId link = attachment.link();
      if (link != null) {
        effects.send(link, factory.create(attachment.id()));
      }
    }
  }

  /** Sends what has happened to a request so far, and the answer from an offset on. */
  void replay(Attachment attachment, long offset) {
    LinkId link = attachment.link();
    if (link == null) {
      return;
    }
    Execution execution = attachment.execution();
    RequestId id = attachment.id();
    if (execution.state() == State.QUEUED) {
      effects.send(link, new Message.Accepted(id));
      return;
    }
    effects.send(link, new Message.Dispatched(id));
    if (!execution.answer().holdsFrom(offset)) {
      effects.send(link, new Message.Rejected(id, ErrorCode.ANSWER_LOST, Outcome.UNKNOWN));
      return;
    }
    attachment.acknowledge(offset);
    replayAnswer(execution, id, link, offset);
  }

  private void replayAnswer(Execution execution, RequestId id, LinkId link, long offset) {
    Message.Head head = execution.head();
    if (head != null) {
      effects.send(link, new Message.Head(id, head.status(), head.contentType()));
    }
    for (RetainedAnswer.Part part : execution.answer().from(offset)) {
      effects.send(link, new Message.Chunk(id, part.offset(), part.data()));
    }
    if (execution.state() == State.FINISHED) {
      effects.send(link, endOf(execution, id));
    }
  }

  void append(Execution execution, byte[] data) {
    RetainedAnswer.Part part = execution.answer().append(data);
    broadcast(execution, target -> new Message.Chunk(target, part.offset(), part.data()));
    if (!execution.isPaused() && backlog(execution) >= limits.streamWindow()) {
      execution.paused(true);
      effects.pauseReading(execution.id());
    }
  }

  void end(Execution execution) {
    broadcast(execution, target -> endOf(execution, target));
  }

  private static Message.End endOf(Execution execution, RequestId id) {
    return new Message.End(id, execution.answer().length(), execution.outcome());
  }

  /** Drops the bytes that every submission has, and reads on where they held it up. */
  void release(Execution execution) {
    boolean keepAll =
        execution.isKeyed() && execution.answer().length() <= limits.keyedAnswerBytes();
    if (!keepAll) {
      execution.answer().trimTo(execution.neededFrom());
    }
    if (execution.isPaused() && backlog(execution) < limits.streamWindow() / 2) {
      execution.paused(false);
      effects.resumeReading(execution.id());
    }
  }

  private static long backlog(Execution execution) {
    return execution.answer().length() - execution.neededFrom();
  }
}
