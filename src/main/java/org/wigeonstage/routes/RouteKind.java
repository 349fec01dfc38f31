package org.wigeonstage.routes;

/** What may be repeated on a route. */
public enum RouteKind {
  /** Requests may run more than once. */
  IDEMPOTENT,
  /** Requests run at most once. */
  NON_IDEMPOTENT,
  /** The answer is a stream of numbered events. */
  STREAMING
}
