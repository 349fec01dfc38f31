package org.wigeonstage.ledger;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/** Decides how long executions and their responses are kept. */
final class RetentionPolicy {

  private final LedgerLimits limits;

  RetentionPolicy(LedgerLimits limits) {
    this.limits = limits;
  }

  /**
   * Returns whether a request has had no link to an entry for longer than the orphan retention
   * period, so that no entry is expected to resume it.
   */
  boolean isExpiredOrphan(Execution execution, Instant now) {
    @Nullable Instant orphanedAt = execution.orphanedAt();
    return orphanedAt != null && hasPassed(orphanedAt, limits.orphanRetention(), now);
  }

  /** Returns whether the response of a finished request can be discarded. */
  boolean isResponseExpired(Execution execution, Instant now) {
    return hasPassed(execution.stateChangedAt(), responseRetention(execution), now);
  }

  /**
   * Returns whether a finished execution can be removed. A message about it that arrives later than
   * that is answered with an unknown outcome, see {@link LedgerLimits#absenceProvenUntil}.
   */
  boolean isRemovable(Execution execution, Instant now) {
    Duration retention = responseRetention(execution).plus(limits.maxOfferTransitTime());
    return hasPassed(execution.stateChangedAt(), retention, now);
  }

  private Duration responseRetention(Execution execution) {
    return execution.isKeyed() ? limits.keyRetention() : limits.responseRetention();
  }

  static boolean hasPassed(Instant start, Duration period, Instant now) {
    return start.plus(period).isBefore(now);
  }
}
