package org.wigeonstage.ledger;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.time.Instant;

/**
 * Size limits and retention periods of a {@link RequestLedger}.
 *
 * @param maxSubmissions the maximum number of submissions that are remembered, including finished
 *     ones, and separately the maximum number of tombstones
 * @param maxStartDelay how far in the future the latest start in an offer may lie, apart from the
 *     clock skew
 * @param maxClockSkew the largest difference between the wall clocks of two hosts
 * @param keyRetention how long a finished request with an idempotency key is remembered, with its
 *     response unless that is larger than {@code maxKeyedResponseBytes}
 * @param responseRetention how long the response of a finished request without an idempotency key
 *     is kept
 * @param orphanRetention how long a request is kept while no entry has a link for it
 * @param maxUnacknowledgedBytes the number of unacknowledged response bytes at which reading pauses
 * @param maxKeyedResponseBytes the largest response body that is kept in full for a request with an
 *     idempotency key
 */
public record LedgerLimits(
    int maxSubmissions,
    Duration maxStartDelay,
    Duration maxClockSkew,
    Duration keyRetention,
    Duration responseRetention,
    Duration orphanRetention,
    int maxUnacknowledgedBytes,
    int maxKeyedResponseBytes) {

  /** The limits of every agent, which are not configurable. */
  public static final LedgerLimits AGENT_LIMITS =
      new LedgerLimits(
          /* maxSubmissions= */ 100_000,
          /* maxStartDelay= */ Duration.ofMinutes(5),
          /* maxClockSkew= */ Duration.ofSeconds(2),
          /* keyRetention= */ Duration.ofMinutes(10),
          /* responseRetention= */ Duration.ofSeconds(60),
          /* orphanRetention= */ Duration.ofSeconds(10),
          /* maxUnacknowledgedBytes= */ 256 * 1024,
          /* maxKeyedResponseBytes= */ 256 * 1024);

  /**
   * Creates limits.
   *
   * @throws IllegalArgumentException if {@code maxSubmissions} or {@code maxUnacknowledgedBytes} is
   *     not positive
   */
  public LedgerLimits {
    checkArgument(
        maxSubmissions > 0,
        "maximum number of submissions must be positive, was %s",
        maxSubmissions);
    checkArgument(
        maxUnacknowledgedBytes > 0,
        "maximum number of unacknowledged bytes must be positive, was %s",
        maxUnacknowledgedBytes);
  }

  /**
   * Returns the longest time that an offer can be in transit and still be dispatched.
   *
   * <p>A finished execution is kept for the same time after its response has been discarded; the
   * proof at {@link #absenceProvenUntil} relies on this.
   *
   * @return the longest start delay plus twice the clock skew, since the agent accepts a latest
   *     start that lies ahead by this delay and the skew, and the clock of the entry that set it
   *     may differ by the skew as well
   */
  public Duration maxOfferTransitTime() {
    return maxStartDelay.plus(maxClockSkew.multipliedBy(2));
  }

  /**
   * Returns until when a tombstone must be kept. An offer that arrives later is not dispatched
   * anyway, because its latest start has passed.
   *
   * @param startBy the latest start in the offer
   * @return the latest start, with twice the clock skew as a margin
   */
  public Instant tombstoneExpiry(Instant startBy) {
    return startBy.plus(maxClockSkew.multipliedBy(2));
  }

  /**
   * Returns the time until which the absence of a request from the ledger proves that it has not
   * reached the backend server.
   *
   * <p>A dispatched request can't finish earlier than {@code startBy - maxStartDelay -
   * maxClockSkew}, because an offer that arrives before that is refused. It is then kept at least
   * for the response retention and {@code maxStartDelay + 2 * maxClockSkew}, and so until {@code
   * startBy + responseRetention + maxClockSkew}. Only the clock of the agent is used. The returned
   * time is earlier by three times the skew, a safety margin that the proof doesn't need.
   *
   * <p>Entries don't rely on this for a request with an idempotency key, whose submission may be
   * attached to an older execution.
   *
   * @param startBy the latest start in the offer
   * @return the latest start plus the response retention, less twice the clock skew
   */
  public Instant absenceProvenUntil(Instant startBy) {
    return startBy.plus(responseRetention).minus(maxClockSkew.multipliedBy(2));
  }
}
