package org.wigeonstage.ledger;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.handover.Message;
import org.wigeonstage.request.IdempotencyKey;
import org.wigeonstage.request.Outcome;

/** Decides which offers an agent must not take, and what it answers to them. */
final class OfferValidator {

  private final long incarnation;
  private final LedgerLimits limits;
  private final InstantSource clock;
  private final Tombstones tombstones;
  private final ExecutionTable table;
  private final KeyHomes homes;

  OfferValidator(
      long incarnation,
      LedgerLimits limits,
      InstantSource clock,
      Tombstones tombstones,
      ExecutionTable table,
      KeyHomes homes) {
    this.incarnation = incarnation;
    this.limits = limits;
    this.clock = clock;
    this.tombstones = tombstones;
    this.table = table;
    this.homes = homes;
  }

  /** Returns the answer to an offer that is not for this incarnation or was withdrawn. */
  Optional<Message> replyToInvalid(Message.Offer offer) {
    if (offer.incarnation() != incarnation) {
      return Optional.of(refused(offer, ErrorCode.STALE_INCARNATION));
    }
    if (tombstones.contains(offer.id())) {
      return Optional.of(refused(offer, ErrorCode.OFFER_UNSEEN));
    }
    return Optional.empty();
  }

  /** Returns the answer to an offer of a new request that must not be queued. */
  Optional<Message> replyToInadmissible(Message.Offer offer, boolean leaving) {
    IdempotencyKey key = offer.spec().key();
    Optional<Message> answer = key == null ? Optional.empty() : replyToUnprovenKey(offer, key);
    return answer.isPresent()
        ? answer
        : refusalReason(offer, leaving).map(reason -> refused(offer, reason));
  }

  /**
   * Decides by the key's history before anything else, so that a refusal is true of the key as
   * well. A late offer may come after the key's earlier use was forgotten.
   */
  private Optional<Message> replyToUnprovenKey(Message.Offer offer, IdempotencyKey key) {
    Instant now = clock.instant();
    if (offer.startBy().isBefore(now)) {
      return Optional.of(unknown(offer, ErrorCode.DEADLINE));
    }
    if (homes.hasOtherHome(key)) {
      return Optional.of(unknown(offer, ErrorCode.KEY_HOME_MOVED));
    }
    boolean isKnownNew =
        !homes.isMemberListOlderThan(offer.membersChangedAtMillis())
            && table.keys().isKnownNew(key, now)
            && !homes.mayHaveRunAtFormerHome(key, limits, now);
    if (!isKnownNew) {
      return Optional.of(unknown(offer, ErrorCode.KEY_HISTORY_LOST));
    }
    return Optional.empty();
  }

  private Optional<ErrorCode> refusalReason(Message.Offer offer, boolean leaving) {
    Instant now = clock.instant();
    Instant latestStart = now.plus(limits.maxStartDelay()).plus(limits.maxClockSkew());
    if (leaving) {
      return Optional.of(ErrorCode.LEAVING);
    }
    if (offer.startBy().isBefore(now) || offer.startBy().isAfter(latestStart)) {
      return Optional.of(ErrorCode.DEADLINE);
    }
    if (table.size() >= limits.maxRecords()) {
      return Optional.of(ErrorCode.OVERLOADED);
    }
    return Optional.empty();
  }

  private static Message refused(Message.Offer offer, ErrorCode reason) {
    return new Message.Refused(offer.id(), reason);
  }

  private static Message unknown(Message.Offer offer, ErrorCode reason) {
    return new Message.Rejected(offer.id(), reason, Outcome.UNKNOWN);
  }
}
