package org.wigeonstage.request;

import java.util.List;

/**
 * A change of a pool's members, by which the homes of idempotency keys have moved.
 *
 * @param atMillis when the change was accepted, in milliseconds since the epoch
 * @param previousMembers the members before the change; empty where another change came so shortly
 *     before that the homes of all keys must be taken for moved
 */
public record MemberChange(long atMillis, List<String> previousMembers) {

  /** Makes the list immutable. */
  public MemberChange {
    previousMembers = List.copyOf(previousMembers);
  }
}
