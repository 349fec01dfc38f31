package org.wigeonstage.ledger;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.handover.Message;
import org.wigeonstage.request.IdempotencyKey;
import org.wigeonstage.request.Outcome;

/** Decides which offers an agent must not accept, and creates the replies to them. */
final class OfferValidator {

  private final long incarnation;
  private final LedgerLimits limits;
  private final InstantSource clock;
  private final Tombstones tombstones;
  private final ExecutionTable table;
  private final KeyHomes keyHomes;

  OfferValidator(
      long incarnation,
      LedgerLimits limits,
      InstantSource clock,
      Tombstones tombstones,
      ExecutionTable table,
      KeyHomes keyHomes) {
    this.incarnation = incarnation;
    this.limits = limits;
    this.clock = clock;
    this.tombstones = tombstones;
    this.table = table;
    this.keyHomes = keyHomes;
  }

  /**
   * Returns the refusal of an offer that is meant for another incarnation or has a tombstone, or
   * empty if the offer is valid.
   */
  Optional<Message> refuseIfStaleOrTombstoned(Message.Offer offer) {
    if (offer.incarnation() != incarnation) {
      return Optional.of(refused(offer, ErrorCode.STALE_INCARNATION));
    }
    if (tombstones.contains(offer.id())) {
      // Tombstones store no reason. The entry usually has the refusal already.
      return Optional.of(refused(offer, ErrorCode.OFFER_UNSEEN));
    }
    return Optional.empty();
  }

  /**
   * Returns the reply to an offer of a new request that must not be queued, or empty if it may be.
   *
   * <p>The idempotency key is checked first. {@link Message.Refused} tells the entry that the
   * request has not run, so a {@link Message.Rejected} is sent instead if an earlier submission
   * with the same key may have run.
   */
  Optional<Message> replyIfNotQueueable(Message.Offer offer, boolean acceptsNoNewRequests) {
    IdempotencyKey key = offer.spec().key();
    Optional<Message> rejection = key == null ? Optional.empty() : rejectIfKeyMayBeUsed(offer, key);
    return rejection.isPresent()
        ? rejection
        : refusalReason(offer, acceptsNoNewRequests).map(reason -> refused(offer, reason));
  }

  /**
   * Rejects the offer unless its key is certainly unused.
   *
   * <p>An offer that arrives after its latest start is rejected as well. An execution with a key is
   * kept only for the retention period of keys and the longest transit time of an offer; the late
   * offer may have been in transit for longer, so an earlier execution may already be removed.
   */
  private Optional<Message> rejectIfKeyMayBeUsed(Message.Offer offer, IdempotencyKey key) {
    Instant now = clock.instant();
    if (offer.startBy().isBefore(now)) {
      return Optional.of(rejectedWithUnknownOutcome(offer, ErrorCode.DEADLINE));
    }
    if (keyHomes.hasOtherHome(key)) {
      return Optional.of(rejectedWithUnknownOutcome(offer, ErrorCode.KEY_HOME_MOVED));
    }
    boolean isCertainlyUnused =
        !keyHomes.hasMissedMemberChange(offer.membersChangedAtMillis())
            && table.keyHistory().isCertainlyUnused(key, now)
            && !keyHomes.mayHaveRunAtFormerHome(key, limits, now);
    if (!isCertainlyUnused) {
      return Optional.of(rejectedWithUnknownOutcome(offer, ErrorCode.KEY_HISTORY_LOST));
    }
    return Optional.empty();
  }

  private Optional<ErrorCode> refusalReason(Message.Offer offer, boolean acceptsNoNewRequests) {
    Instant now = clock.instant();
    Instant maxStartBy = now.plus(limits.maxStartDelay()).plus(limits.maxClockSkew());
    if (acceptsNoNewRequests) {
      return Optional.of(ErrorCode.LEAVING);
    }
    if (offer.startBy().isBefore(now) || offer.startBy().isAfter(maxStartBy)) {
      return Optional.of(ErrorCode.DEADLINE);
    }
    if (table.submissionCount() >= limits.maxSubmissions()) {
      return Optional.of(ErrorCode.OVERLOADED);
    }
    return Optional.empty();
  }

  private static Message refused(Message.Offer offer, ErrorCode reason) {
    return new Message.Refused(offer.id(), reason);
  }

  private static Message rejectedWithUnknownOutcome(Message.Offer offer, ErrorCode reason) {
    return new Message.Rejected(offer.id(), reason, Outcome.UNKNOWN);
  }
}
