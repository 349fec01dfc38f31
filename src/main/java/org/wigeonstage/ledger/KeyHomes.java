package org.wigeonstage.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.request.IdempotencyKey;
import org.wigeonstage.request.MemberChange;
import org.wigeonstage.routing.RendezvousHash;

/** Which idempotency keys this agent decides about, and which moved to it lately. */
final class KeyHomes {

  /** How long after its acceptance a configuration may not yet be in force everywhere. */
  private static final Duration IN_FORCE_EVERYWHERE = Duration.ofSeconds(18);

  private final String agent;
  private List<String> members = List.of();
  private @Nullable MemberChange change;

  KeyHomes(String agent) {
    this.agent = agent;
  }

  void update(List<String> newMembers, @Nullable MemberChange newChange) {
    members = List.copyOf(newMembers);
    change = newChange;
  }

  /** Tells whether an entry knows of a change that this agent does not know yet. */
  boolean isMemberListOlderThan(long membersChangedAt) {
    MemberChange current = change;
    return (current == null ? 0 : current.atMillis()) < membersChangedAt;
  }

  /** Tells whether a key is another agent's to decide; false while no members are known. */
  boolean hasOtherHome(IdempotencyKey key) {
    return !members.isEmpty() && !isHomeOf(key, members);
  }

  private boolean isHomeOf(IdempotencyKey key, List<String> candidates) {
    return RendezvousHash.firstChoice(key.claimName(), candidates).map(agent::equals).orElse(false);
  }

  /** Tells whether a key may have been used at the agent that was its home before. */
  boolean mayHaveRunAtFormerHome(IdempotencyKey key, LedgerLimits limits, Instant now) {
    MemberChange current = change;
    if (current == null) {
      return false;
    }
    boolean wasHome =
        !current.previousMembers().isEmpty() && isHomeOf(key, current.previousMembers());
    Instant settled =
        Instant.ofEpochMilli(current.atMillis())
            .plus(IN_FORCE_EVERYWHERE)
            .plus(limits.maxClockSkew());
    boolean isOld = now.isAfter(settled.plus(limits.keyRetention()).plus(limits.recordRetention()));
    boolean madeAfter = key.createdAt().map(created -> created.isAfter(settled)).orElse(false);
    return !wasHome && !isOld && !madeAfter;
  }
}
