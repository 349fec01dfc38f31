package org.wigeonstage.ledger;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/** Tells how long requests and their answers are kept. */
final class ExecutionAge {

  private final LedgerLimits limits;

  ExecutionAge(LedgerLimits limits) {
    this.limits = limits;
  }

  /** Tells whether no entry has asked for a request for so long that none will. */
  boolean isOrphan(Execution execution, Instant now) {
    @Nullable Instant orphanedAt = execution.orphanedAt();
    return orphanedAt != null && hasPassed(orphanedAt, limits.orphanGrace(), now);
  }

  /** Tells whether a finished request's answer need not be kept any more. */
  boolean isAnswerOld(Execution execution, Instant now) {
    return hasPassed(execution.changedAt(), answerAge(execution), now);
  }

  /** Tells whether a finished request can be forgotten, because no message about it can come. */
  boolean isForgettable(Execution execution, Instant now) {
    Duration age = answerAge(execution).plus(limits.recordAge());
    return hasPassed(execution.changedAt(), age, now);
  }

  private Duration answerAge(Execution execution) {
    return execution.isKeyed() ? limits.retryHorizon() : limits.answerRetention();
  }

  static boolean hasPassed(Instant since, Duration age, Instant now) {
    return since.plus(age).isBefore(now);
  }
}
