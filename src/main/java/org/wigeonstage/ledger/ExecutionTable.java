package org.wigeonstage.ledger;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.handover.LinkId;
import org.wigeonstage.handover.Message;
import org.wigeonstage.ledger.Execution.State;
import org.wigeonstage.request.IdempotencyKey;
import org.wigeonstage.request.RequestId;

/** The requests that an agent has taken, by request, by submission and by idempotency key. */
final class ExecutionTable {

  private final KeyHistory keys;
  private final Map<RequestId, AttachedSubmission> submissions = new HashMap<>();
  private final Map<RequestId, Execution> executions = new HashMap<>();

  ExecutionTable(KeyHistory keys) {
    this.keys = keys;
  }

  KeyHistory keys() {
    return keys;
  }

  void add(Execution execution) {
    executions.put(execution.id(), execution);
    IdempotencyKey key = execution.spec().key();
    if (key != null) {
      keys.put(key, execution);
    }
  }

  void remove(Execution execution) {
    executions.remove(execution.id());
    execution.submissions().keySet().forEach(submissions::remove);
    IdempotencyKey key = execution.spec().key();
    if (key != null) {
      keys.remove(key);
    }
  }

  AttachedSubmission attach(LinkId link, Message.Offer offer, Execution execution) {
    AttachedSubmission submission =
        new AttachedSubmission(offer.id(), execution, offer.startBy(), link);
    submissions.put(offer.id(), submission);
    execution.submissions().put(offer.id(), submission);
    execution.orphanedAt(null);
    return submission;
  }

  void detach(AttachedSubmission submission) {
    submissions.remove(submission.id());
    submission.execution().submissions().remove(submission.id());
  }

  @Nullable AttachedSubmission submission(RequestId id) {
    return submissions.get(id);
  }

  Collection<AttachedSubmission> submissions() {
    return submissions.values();
  }

  Collection<Execution> executions() {
    return List.copyOf(executions.values());
  }

  @Nullable Execution find(RequestId id) {
    return executions.get(id);
  }

  @Nullable Execution findRunning(RequestId id) {
    Execution execution = executions.get(id);
    return execution != null && execution.state() == State.RUNNING ? execution : null;
  }

  /** Returns a request that is certainly in the table. */
  Execution get(RequestId id) {
    Execution execution = executions.get(id);
    if (execution == null) {
      throw new IllegalStateException("request " + id + " is not in the ledger");
    }
    return execution;
  }

  int size() {
    return submissions.size();
  }
}
