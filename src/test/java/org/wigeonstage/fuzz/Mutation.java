package org.wigeonstage.fuzz;

/** Deliberate faults that the oracle must detect. */
enum Mutation {
  NONE,
  /** An agent replies to the withdrawal of an unknown request without recording a tombstone. */
  TOMBSTONE_NOT_RECORDED,
  /** An agent refuses a request that it has just dispatched. */
  REFUSED_AFTER_DISPATCH,
  /** After a lost link, an entry offers a request again to the next incarnation of the agent. */
  OFFERED_TO_NEXT_INCARNATION,
  /** An agent processes messages that are addressed to its previous incarnation. */
  INCARNATION_IGNORED,
  /** An entry treats every ended response as complete, whatever its length. */
  RESPONSE_LENGTH_IGNORED,
  /** An agent assigns parts of a response to another request. */
  RESPONSE_PARTS_MIXED_UP,
  /** Idempotency keys are ignored. */
  KEYS_IGNORED,
  /** A restarted agent assumes that no key was used before its start. */
  KEY_HISTORY_ASSUMED_COMPLETE,
  /** The home of a key is chosen among the connected agents instead of all members. */
  KEY_HOME_AMONG_CONNECTED_AGENTS,
  /** An agent ignores that a member change moved keys to it from another home. */
  MEMBER_CHANGE_IGNORED,
  /** A leaving agent continues to dispatch requests. */
  LEAVING_IGNORED,
  /** A request whose response was aborted is dispatched to the backend server again. */
  DISPATCHED_TWICE,
  /** Requests with an unknown outcome are reported to callers as not run. */
  UNKNOWN_REPORTED_AS_NOT_RUN,
  /** Unknown outcomes are not reported to the caller. */
  OUTCOME_LOST,
  /** A full queue refuses all requests instead of displacing one of a lower tier. */
  NO_DISPLACEMENT,
  /** A full queue displaces a request of the highest tier. */
  HIGHEST_TIER_DISPLACED
}
