package org.wigeonstage.placement;

/** Why a request is refused before it was sent to a backend server. */
public enum RefusalReason {
  /** No backend server of the pool is registered and ready. */
  NO_SERVER,
  /** Requests of the same or a higher tier that wait already would take too long. */
  QUEUE_TOO_LONG,
  /** No place became free while the request could still be served. */
  WAITED_TOO_LONG
}
