package org.wigeonstage.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Bounds of a {@link RequestDispatcher}.
 *
 * @param maxOffers the most agents that one request is offered to
 * @param withdrawGrace how long the answer to a withdrawal is awaited
 * @param unreachableGrace how long an agent may be out of reach before its requests are given up
 * @param reofferAfter how long a request waits before it may move to an agent that has room
 */
public record DispatcherLimits(
    int maxOffers, Duration withdrawGrace, Duration unreachableGrace, Duration reofferAfter) {

  /** The bounds that apply where the settings name none. */
  public static final DispatcherLimits DEFAULTS =
      new DispatcherLimits(
          32, Duration.ofSeconds(5), Duration.ofSeconds(15), Duration.ofMillis(250));

  /** Checks the bounds. */
  public DispatcherLimits {
    checkArgument(maxOffers > 0, "max offers must be positive, was %s", maxOffers);
  }
}
