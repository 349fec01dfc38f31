package org.wigeonstage.placement;

/** Why a {@link PoolScheduler} refused a request instead of starting it on a backend server. */
public enum RefusalReason {
  /** No backend server of the pool is registered and accepts requests. */
  NO_SERVER,
  /** The requests that wait already are expected to start too slowly for this one to be in time. */
  QUEUE_TOO_LONG,
  /** No slot became free before the latest useful start of the request. */
  WAITED_TOO_LONG
}
