package org.wigeonstage.request;

import java.util.List;

/**
 * A change of a pool's members. It moves idempotency keys to other home agents, which decide
 * whether requests with these keys may run.
 *
 * @param atMillis the time at which the change was accepted, in milliseconds since the epoch
 * @param previousMembers the members before the change; empty if another change preceded it so
 *     closely that all keys must be assumed to have moved
 */
public record MemberChange(long atMillis, List<String> previousMembers) {

  /** Copies the list. */
  public MemberChange {
    previousMembers = List.copyOf(previousMembers);
  }
}
