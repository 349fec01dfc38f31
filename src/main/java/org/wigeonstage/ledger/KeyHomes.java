package org.wigeonstage.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.request.IdempotencyKey;
import org.wigeonstage.request.MemberChange;
import org.wigeonstage.routing.RendezvousHash;

/**
 * Determines the home of idempotency keys: the one agent of the pool that decides about requests
 * with a given key.
 *
 * <p>The home of a key is the first choice of rendezvous hashing over the members of the pool, so a
 * change of the members moves some keys. An agent does not know which of the keys that moved to it
 * were used at their former home.
 */
final class KeyHomes {

  /** The longest time from the acceptance of a configuration until all processes apply it. */
  private static final Duration CONFIGURATION_PROPAGATION_TIME = Duration.ofSeconds(18);

  private final String agentName;
  private List<String> members = List.of();
  private @Nullable MemberChange lastChange;

  KeyHomes(String agentName) {
    this.agentName = agentName;
  }

  void updateMembers(List<String> newMembers, @Nullable MemberChange newChange) {
    members = List.copyOf(newMembers);
    lastChange = newChange;
  }

  /** Returns whether an entry knows of a later member change than this agent. */
  boolean hasMissedMemberChange(long knownToEntryMillis) {
    MemberChange change = lastChange;
    return (change == null ? 0 : change.atMillis()) < knownToEntryMillis;
  }

  /** Returns whether another agent is the home of a key; false while the members are unknown. */
  boolean hasOtherHome(IdempotencyKey key) {
    return !members.isEmpty() && !isHomeOf(key, members);
  }

  private boolean isHomeOf(IdempotencyKey key, List<String> candidates) {
    return RendezvousHash.firstChoice(key.claimName(), candidates)
        .map(agentName::equals)
        .orElse(false);
  }

  /**
   * Returns whether a key may have been used at another agent that was its home before the last
   * member change.
   *
   * <p>Returns false if this agent was the home before the change as well, if the former home no
   * longer remembers any use of the key, or if the key was created after all processes had applied
   * the change.
   */
  boolean mayHaveRunAtFormerHome(IdempotencyKey key, LedgerLimits limits, Instant now) {
    MemberChange change = lastChange;
    if (change == null) {
      return false;
    }
    boolean wasHome =
        !change.previousMembers().isEmpty() && isHomeOf(key, change.previousMembers());
    Instant appliedEverywhereAt =
        Instant.ofEpochMilli(change.atMillis())
            .plus(CONFIGURATION_PROPAGATION_TIME)
            .plus(limits.maxClockSkew());
    boolean formerUsesExpired =
        now.isAfter(
            appliedEverywhereAt.plus(limits.keyRetention()).plus(limits.maxOfferTransitTime()));
    boolean createdAfterChange =
        key.createdAt().map(createdAt -> createdAt.isAfter(appliedEverywhereAt)).orElse(false);
    return !wasHome && !formerUsesExpired && !createdAfterChange;
  }
}
