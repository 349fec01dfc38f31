package org.wigeonstage.forward;

/** Why an event can't be part of a stream. */
public enum EventDefect {
  /** A line is neither a comment nor a known field, or has control characters. */
  UNKNOWN_LINE,
  /** The event has no ID, or one that is not a whole number. */
  NO_ID,
  /** The event has several IDs, so that it may be the end of one event and the start of another. */
  SEVERAL_IDS,
  /** The ID is not greater than that of the event before. */
  ID_NOT_INCREASING,
  /** The event exceeds {@link EventSplitter#MAX_EVENT_BYTES}. */
  TOO_LONG
}
