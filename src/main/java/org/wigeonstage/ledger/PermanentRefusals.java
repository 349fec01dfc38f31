package org.wigeonstage.ledger;

import java.time.Instant;
import java.time.InstantSource;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.handover.LinkId;
import org.wigeonstage.handover.Message;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.request.RequestId;

/**
 * Refuses requests permanently. A tombstone is stored before the entry is told that the request
 * will never be dispatched, so that an offer that arrives later can't break this guarantee.
 */
final class PermanentRefusals {

  private final LedgerLimits limits;
  private final InstantSource clock;
  private final Tombstones tombstones;
  private final LedgerEffects effects;

  PermanentRefusals(
      LedgerLimits limits, InstantSource clock, Tombstones tombstones, LedgerEffects effects) {
    this.limits = limits;
    this.clock = clock;
    this.tombstones = tombstones;
    this.effects = effects;
  }

  /**
   * Replies to a message about a request that is not in the ledger: refuses the request if it was
   * certainly never here, and reports an unknown outcome if the ledger may have dropped it.
   */
  void replyToUnknown(LinkId link, RequestId id, Instant startBy) {
    if (clock.instant().isAfter(limits.absenceProvenUntil(startBy))) {
      effects.send(link, new Message.Rejected(id, ErrorCode.ANSWER_LOST, Outcome.UNKNOWN));
    } else {
      tryRefuse(link, id, startBy, ErrorCode.OFFER_UNSEEN);
    }
  }

  /**
   * Refuses a request permanently. Returns false, and sends nothing, if the maximum number of
   * tombstones is reached.
   */
  boolean tryRefuse(LinkId link, RequestId id, Instant startBy, ErrorCode reason) {
    boolean hasTombstone = tombstones.add(id, limits.tombstoneExpiry(startBy));
    if (hasTombstone) {
      effects.send(link, new Message.Refused(id, reason));
    }
    return hasTombstone;
  }
}
