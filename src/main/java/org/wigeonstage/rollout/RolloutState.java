package org.wigeonstage.rollout;

/** The state of a roll-out order. Its ordinals are part of the protocol between gateways. */
public enum RolloutState {
  /** No gateway has written a state yet. */
  REQUESTED,
  /** Traffic is being shifted. */
  ACTIVE,
  /** All requests go to the target version; the other servers stop. */
  COMPLETED,
  /** The target version gets no requests; its servers stop. */
  ROLLED_BACK
}
