package org.wigeonstage.ledger;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.request.IdempotencyKey;

/**
 * The keyed requests of the retry horizon.
 *
 * <p>The history begins with the agent's start. A key that may be older than the history, and so
 * may have been used at an earlier incarnation, is not known to be new.
 */
final class KeyHistory {

  private Instant begin;
  private final LedgerLimits limits;
  private final Map<String, Execution> executions = new HashMap<>();

  KeyHistory(Instant begin, LedgerLimits limits) {
    this.begin = begin;
    this.limits = limits;
  }

  /** Notes that no earlier incarnation can have used any key. */
  void complete() {
    begin = Instant.EPOCH;
  }

  @Nullable Execution find(IdempotencyKey key) {
    return executions.get(key.claimName());
  }

  /**
   * Tells whether a key without an entry is certainly unused.
   *
   * <p>A key that carries its time of creation is new if it was made after this history began and
   * within the retry horizon. Any other key is new once the history covers the whole horizon and
   * the time that an offer may have been on its way.
   */
  boolean isKnownNew(IdempotencyKey key, Instant now) {
    return key.createdAt()
        .map(created -> isCovered(created, now))
        .orElse(now.isAfter(coveredFrom()));
  }

  private Instant coveredFrom() {
    return begin.plus(limits.keyRetention()).plus(limits.recordRetention());
  }

  private boolean isCovered(Instant created, Instant now) {
    boolean afterBegin = created.isAfter(begin.plus(limits.maxClockSkew()));
    boolean withinHorizon =
        created.plus(limits.keyRetention()).isAfter(now.plus(limits.maxClockSkew()));
    return afterBegin && withinHorizon;
  }

  void put(IdempotencyKey key, Execution execution) {
    executions.put(key.claimName(), execution);
  }

  void remove(IdempotencyKey key) {
    executions.remove(key.claimName());
  }
}
