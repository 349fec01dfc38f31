package org.wigeonstage.ledger;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/** Tells how long requests and their answers are kept. */
final class RetentionPolicy {

  private final LedgerLimits limits;

  RetentionPolicy(LedgerLimits limits) {
    this.limits = limits;
  }

  /** Tells whether no entry has asked for a request for so long that none will. */
  boolean isOrphanExpired(Execution execution, Instant now) {
    @Nullable Instant orphanedAt = execution.orphanedAt();
    return orphanedAt != null && hasPassed(orphanedAt, limits.orphanRetention(), now);
  }

  /** Tells whether a finished request's answer need not be kept any more. */
  boolean isResponseExpired(Execution execution, Instant now) {
    return hasPassed(execution.changedAt(), responseRetention(execution), now);
  }

  /** Tells whether a finished request can be forgotten, because no message about it can come. */
  boolean isRecordExpired(Execution execution, Instant now) {
    Duration age = responseRetention(execution).plus(limits.recordRetention());
    return hasPassed(execution.changedAt(), age, now);
  }

  private Duration responseRetention(Execution execution) {
    return execution.isKeyed() ? limits.keyRetention() : limits.responseRetention();
  }

  static boolean hasPassed(Instant since, Duration age, Instant now) {
    return since.plus(age).isBefore(now);
  }
}
