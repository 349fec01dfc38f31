package org.wigeonstage.offer;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Limits of a {@link OfferCoordinator}.
 *
 * @param maxOffers the maximum number of agents that a request is offered to
 * @param withdrawTimeout how long the entry waits for the reply to a withdrawal; it waits at least
 *     until this long after the latest start of the request
 * @param unreachableTimeout how long an agent may be unreachable before the outcome of its requests
 *     is reported as unknown
 * @param reofferDelay how long a request waits at an agent before it may move to another one that
 *     has a free slot
 */
public record OfferLimits(
    int maxOffers, Duration withdrawTimeout, Duration unreachableTimeout, Duration reofferDelay) {

  /** The limits used unless others are given. */
  public static final OfferLimits DEFAULTS =
      new OfferLimits(32, Duration.ofSeconds(5), Duration.ofSeconds(15), Duration.ofMillis(250));

  /** Checks that at least one offer is allowed. */
  public OfferLimits {
    checkArgument(maxOffers > 0, "maximum number of offers must be positive, was %s", maxOffers);
  }
}
