package org.wigeonstage.ledger;

import java.time.Instant;
import java.time.InstantSource;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.handover.LinkId;
import org.wigeonstage.handover.Message;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.request.RequestId;

/** PermanentRefusals to entries that requests will never be dispatched. */
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

  /** Answers about a request that is not in the ledger, and may have been forgotten. */
  void replyToUnknown(LinkId link, RequestId id, Instant startBy) {
    if (clock.instant().isAfter(limits.absenceProvenUntil(startBy))) {
      effects.send(link, new Message.Rejected(id, ErrorCode.ANSWER_LOST, Outcome.UNKNOWN));
    } else {
      refuse(link, id, startBy, ErrorCode.OFFER_UNSEEN);
    }
  }

  /**
   * PermanentRefusals that a request will never be dispatched, if there is room to remember that.
   */
  boolean refuse(LinkId link, RequestId id, Instant startBy, ErrorCode reason) {
    boolean promised = tombstones.add(id, limits.tombstoneExpiry(startBy));
    if (promised) {
      effects.send(link, new Message.Refused(id, reason));
    }
    return promised;
  }
}
