package org.wigeonstage.fuzz;

/** Deliberate faults that the oracle must catch. */
enum Mutation {
  NONE,
  /** A withdrawal of an unknown request is answered without remembering it. */
  TOMBSTONE_DROPPED,
  /** The agent says that a request will never run when it has just been dispatched. */
  REFUSED_AFTER_DISPATCH,
  /** The entry offers a request again, to the agent's next incarnation, after a lost connection. */
  OFFERED_AGAIN,
  /** The agent's next incarnation answers for the one before. */
  INCARNATION_IGNORED,
  /** The end of an answer counts as whole whatever was received. */
  LENGTH_IGNORED,
  /** Parts of one answer are given to another request. */
  ANSWERS_CROSSED,
  /** Idempotency keys are not looked at. */
  KEYS_IGNORED,
  /** A restarted agent believes that no key was used before. */
  KEY_HISTORY_ASSUMED,
  /** The agent that decides about a key is chosen among those that are connected. */
  KEY_HOME_FOLLOWS_CONNECTIONS,
  /** An agent does not know that keys moved to it from another home. */
  MEMBER_CHANGE_FORGOTTEN,
  /** A leaving agent goes on dispatching. */
  LEAVING_IGNORED,
  /** A request whose answer broke off is sent to the backend server again. */
  SENT_AGAIN,
  /** Callers of unknown requests are told that they did not run. */
  UNKNOWN_TOLD_AS_NOT_RUN,
  /** Some outcomes never reach the caller. */
  OUTCOME_LOST,
  /** A full queue refuses every request. */
  NOTHING_DISPLACED,
  /** A full queue displaces the highest tier. */
  HIGHEST_DISPLACED
}
