package org.wigeonstage.routes;

/** The kind of a route's requests. It determines whether they may run more than once. */
public enum RouteKind {
  /** Requests may run more than once. */
  IDEMPOTENT,
  /** Requests run at most once. */
  NON_IDEMPOTENT,
  /**
   * The response is a stream of numbered events. Requests may run more than once if the route is
   * resumable.
   */
  STREAMING
}
