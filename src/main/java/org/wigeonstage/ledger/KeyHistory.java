package org.wigeonstage.ledger;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.request.IdempotencyKey;

/**
 * The executions in the ledger that have an idempotency key, indexed by key. They are kept for the
 * retention period of keys after they finish.
 *
 * <p>The history begins when the agent starts. A key that is missing from it may have been used at
 * an earlier incarnation of the agent.
 */
final class KeyHistory {

  private Instant historyStart;
  private final LedgerLimits limits;
  private final Map<String, Execution> executions = new HashMap<>();

  KeyHistory(Instant historyStart, LedgerLimits limits) {
    this.historyStart = historyStart;
    this.limits = limits;
  }

  /** Marks the history as complete, because no earlier incarnation can have used a key. */
  void markComplete() {
    historyStart = Instant.EPOCH;
  }

  @Nullable Execution find(IdempotencyKey key) {
    return executions.get(key.claimName());
  }

  /**
   * Returns whether a key that is not in this history is certainly unused.
   *
   * <p>A key that carries its creation time is unused if it was created after the history began and
   * within the retention period. Any other key is unused once the history covers the full retention
   * period of keys and the longest time that an offer can be in transit.
   */
  boolean isCertainlyUnused(IdempotencyKey key, Instant now) {
    return key.createdAt()
        .map(createdAt -> isCovered(createdAt, now))
        .orElse(now.isAfter(fullCoverageStart()));
  }

  private Instant fullCoverageStart() {
    return historyStart.plus(limits.keyRetention()).plus(limits.maxOfferTransitTime());
  }

  private boolean isCovered(Instant createdAt, Instant now) {
    boolean isAfterStart = createdAt.isAfter(historyStart.plus(limits.maxClockSkew()));
    boolean isRetained =
        createdAt.plus(limits.keyRetention()).isAfter(now.plus(limits.maxClockSkew()));
    return isAfterStart && isRetained;
  }

  void put(IdempotencyKey key, Execution execution) {
    executions.put(key.claimName(), execution);
  }

  void remove(IdempotencyKey key) {
    executions.remove(key.claimName());
  }
}
