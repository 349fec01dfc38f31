package org.wigeonstage.gateway;

import java.util.Optional;

/** Checks callers' requests before they are admitted. */
@FunctionalInterface
interface InboundFilter {

  /**
   * Checks a request, and sets on it what later filters and its placement need.
   *
   * @param request the request
   * @return the response that ends the request, or empty if it passes
   */
  Optional<Rejection> apply(InboundRequest request);
}
