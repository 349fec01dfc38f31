package org.wigeonstage.ledger;

import java.time.Instant;
import java.time.InstantSource;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.handover.LinkId;
import org.wigeonstage.handover.Message;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.request.RequestId;

/**
 * Refuses withdrawn and unknown requests, and stores a tombstone first.
 *
 * <p>An entry may withdraw or resume a request on a new link while its offer is still delayed on an
 * earlier one. The offer may then arrive after the refusal, which promises that the request will
 * never be dispatched. The tombstone keeps this promise: an offer with a tombstone is refused. A
 * withdrawn request gets one in any case, even if its offer has arrived.
 *
 * <p>Other refusals are sent only after the offer has arrived. They need no tombstone, because an
 * entry offers a request at most once to each agent.
 */
final class TombstonedRefusals {

  private final LedgerLimits limits;
  private final InstantSource clock;
  private final Tombstones tombstones;
  private final LedgerEffects effects;

  TombstonedRefusals(
      LedgerLimits limits, InstantSource clock, Tombstones tombstones, LedgerEffects effects) {
    this.limits = limits;
    this.clock = clock;
    this.tombstones = tombstones;
    this.effects = effects;
  }

  /**
   * Replies to a message about a submission that is not in the ledger: refuses the request if it
   * has certainly not reached the backend server, and reports an unknown outcome if the ledger may
   * have removed its execution.
   */
  void replyToUnknown(LinkId link, RequestId id, Instant startBy) {
    if (clock.instant().isAfter(limits.absenceProvenUntil(startBy))) {
      effects.send(link, new Message.Rejected(id, ErrorCode.ANSWER_LOST, Outcome.UNKNOWN));
    } else {
      tryRefuse(link, id, startBy, ErrorCode.OFFER_UNSEEN);
    }
  }

  /**
   * Stores a tombstone and refuses the request. Returns false, and sends nothing, if the maximum
   * number of tombstones is reached.
   */
  boolean tryRefuse(LinkId link, RequestId id, Instant startBy, ErrorCode reason) {
    boolean hasTombstone = tombstones.add(id, limits.tombstoneExpiry(startBy));
    if (hasTombstone) {
      effects.send(link, new Message.Refused(id, reason));
    }
    return hasTombstone;
  }
}
