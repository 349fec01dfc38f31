package org.wigeonstage.ledger;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.time.Instant;

/**
 * Size limits and retention periods of a {@link RequestLedger}.
 *
 * @param maxRecords the maximum number of submissions that are remembered, including finished ones,
 *     and separately the maximum number of tombstones
 * @param maxStartDelay how far in the future the latest start in an offer may lie
 * @param maxClockSkew the largest difference between the wall clocks of two hosts
 * @param keyRetention how long a request with an idempotency key is remembered after it finished
 * @param responseRetention how long the response of a finished request without an idempotency key
 *     is kept
 * @param orphanRetention how long a request is kept while no entry is connected for it
 * @param streamWindowBytes the number of unacknowledged response bytes at which reading pauses
 * @param maxKeyedResponseBytes the largest response body that is kept in full for a request with an
 *     idempotency key
 */
public record LedgerLimits(
    int maxRecords,
    Duration maxStartDelay,
    Duration maxClockSkew,
    Duration keyRetention,
    Duration responseRetention,
    Duration orphanRetention,
    int streamWindowBytes,
    int maxKeyedResponseBytes) {

  /** The limits that every agent uses. They are not configurable. */
  public static final LedgerLimits DEFAULTS =
      new LedgerLimits(
          100_000,
          Duration.ofMinutes(5),
          Duration.ofSeconds(2),
          Duration.ofMinutes(10),
          Duration.ofSeconds(60),
          Duration.ofSeconds(10),
          256 * 1024,
          256 * 1024);

  /**
   * Creates limits.
   *
   * @throws IllegalArgumentException if {@code maxRecords} or {@code streamWindowBytes} is not
   *     positive
   */
  public LedgerLimits {
    checkArgument(maxRecords > 0, "max records must be positive, was %s", maxRecords);
    checkArgument(
        streamWindowBytes > 0, "stream window must be positive, was %s bytes", streamWindowBytes);
  }

  /**
   * Returns how long a finished request is remembered after its response has been discarded, so
   * that no message that arrives before {@link #absenceProvenUntil} finds the request unknown.
   *
   * @return the longest start delay plus twice the clock skew
   */
  public Duration recordRetention() {
    return maxStartDelay.plus(maxClockSkew.multipliedBy(2));
  }

  /**
   * Returns how long a refusal must be remembered so that a late offer of the same request is
   * refused as well.
   *
   * @param startBy the latest start in the offer
   * @return the time after which the offer is refused for its deadline
   */
  public Instant tombstoneExpiry(Instant startBy) {
    return startBy.plus(maxClockSkew.multipliedBy(2));
  }

  /**
   * Returns the time until which the absence of a request from the ledger proves that it was never
   * in it.
   *
   * @param startBy the latest start in the offer
   * @return the time after which the ledger may have dropped the request
   */
  public Instant absenceProvenUntil(Instant startBy) {
    return startBy.plus(responseRetention).minus(maxClockSkew.multipliedBy(2));
  }
}
