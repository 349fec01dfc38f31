package org.wigeonstage.ledger;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.time.Instant;

/**
 * Bounds of a {@link RequestLedger}.
 *
 * @param maxRecords the most requests, finished or refused ones included, that are remembered
 * @param maxStartDelay the longest time that an offer may set for its start
 * @param maxClockSkew the greatest difference between the wall clocks of two hosts
 * @param keyRetention how long a keyed request is remembered after it finished
 * @param responseRetention how long the answer of an unkeyed request waits for its entry
 * @param orphanRetention how long a request without a connection to an entry is kept
 * @param streamWindowBytes the most bytes of an answer that wait for acknowledgement
 * @param maxKeyedResponseBytes the most bytes of a keyed request's answer that are kept
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

  /** The bounds that apply where the settings name none. */
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

  /** Checks the bounds. */
  public LedgerLimits {
    checkArgument(maxRecords > 0, "max records must be positive, was %s", maxRecords);
    checkArgument(
        streamWindowBytes > 0, "stream window must be positive, was %s", streamWindowBytes);
  }

  /**
   * Returns how long a finished request must be remembered, beside its answer, so that no late
   * message can find it unknown within {@link #absenceProvenUntil}.
   *
   * @return the longest start delay and twice the clock skew
   */
  public Duration recordRetention() {
    return maxStartDelay.plus(maxClockSkew.multipliedBy(2));
  }

  /**
   * Returns until when a refusal must be remembered so that no late offer can pass it.
   *
   * @param startBy the time in the offer
   * @return the time after which the offer would be refused in any case
   */
  public Instant tombstoneExpiry(Instant startBy) {
    return startBy.plus(maxClockSkew.multipliedBy(2));
  }

  /**
   * Returns until when a request that is not in the ledger is certain never to have been in it.
   *
   * @param startBy the time in the offer
   * @return the time after which it may have been forgotten
   */
  public Instant absenceProvenUntil(Instant startBy) {
    return startBy.plus(responseRetention).minus(maxClockSkew.multipliedBy(2));
  }
}
