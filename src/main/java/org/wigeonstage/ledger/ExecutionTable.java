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

/** The executions of an agent, indexed by identifier, by submission and by idempotency key. */
final class ExecutionTable {

  private final KeyHistory keyHistory;
  private final Map<RequestId, AttachedSubmission> submissions = new HashMap<>();
  private final Map<RequestId, Execution> executions = new HashMap<>();

  ExecutionTable(KeyHistory keyHistory) {
    this.keyHistory = keyHistory;
  }

  KeyHistory keyHistory() {
    return keyHistory;
  }

  void add(Execution execution) {
    executions.put(execution.id(), execution);
    IdempotencyKey key = execution.spec().key();
    if (key != null) {
      keyHistory.put(key, execution);
    }
  }

  void remove(Execution execution) {
    executions.remove(execution.id());
    execution.submissions().keySet().forEach(submissions::remove);
    IdempotencyKey key = execution.spec().key();
    if (key != null) {
      keyHistory.remove(key);
    }
  }

  /** Attaches the submission of an offer to an execution. */
  AttachedSubmission attach(LinkId link, Message.Offer offer, Execution execution) {
    AttachedSubmission submission =
        new AttachedSubmission(offer.id(), execution, offer.startBy(), link);
    submissions.put(offer.id(), submission);
    execution.submissions().put(offer.id(), submission);
    execution.updateOrphanedAt(null);
    return submission;
  }

  /** Detaches a submission from its execution, which stays. */
  void detach(AttachedSubmission submission) {
    submissions.remove(submission.id());
    submission.execution().submissions().remove(submission.id());
  }

  @Nullable AttachedSubmission findSubmission(RequestId id) {
    return submissions.get(id);
  }

  Collection<AttachedSubmission> submissions() {
    return submissions.values();
  }

  /** Returns a copy of the executions. */
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

  /**
   * Returns the execution with the given identifier.
   *
   * @throws IllegalStateException if there is none
   */
  Execution get(RequestId id) {
    Execution execution = executions.get(id);
    if (execution == null) {
      throw new IllegalStateException("request " + id + " is not in the ledger");
    }
    return execution;
  }

  int submissionCount() {
    return submissions.size();
  }
}
