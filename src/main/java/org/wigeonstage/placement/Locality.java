package org.wigeonstage.placement;

import java.time.Duration;
import org.wigeonstage.fleet.BackendServer;

/**
 * What it costs to send requests to servers in other failure domains.
 *
 * @param failureDomain the failure domain of this gateway
 * @param crossingCost the delay that is accepted to stay in it; zero if crossing costs nothing
 */
public record Locality(String failureDomain, Duration crossingCost) {

  private static final double NANOS_PER_MILLI = 1e6;

  /** All servers are equally near. */
  public static final Locality NONE = new Locality("", Duration.ZERO);

  /** Returns the cost of the way to a server, in milliseconds of delay. */
  double costMillis(BackendServer server) {
    return server.failureDomain().equals(failureDomain)
        ? 0
        : crossingCost.toNanos() / NANOS_PER_MILLI;
  }
}
