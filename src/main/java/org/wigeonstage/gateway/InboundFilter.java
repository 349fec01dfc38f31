package org.wigeonstage.gateway;

import java.util.Optional;

/** One check of a caller's request. */
@FunctionalInterface
interface InboundFilter {

  /**
   * Checks the request and notes what was found on it.
   *
   * @return the answer that ends the request, or empty where it goes on
   */
  Optional<Rejection> apply(InboundRequest call);
}
