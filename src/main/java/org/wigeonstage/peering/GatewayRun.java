package org.wigeonstage.peering;

import java.util.Comparator;

/**
 * A run of a gateway. Runs are ordered by their start, and by name if they started at the same
 * time.
 *
 * @param name the name of the gateway
 * @param incarnation a number that grows with each start of the gateway
 */
public record GatewayRun(String name, long incarnation) implements Comparable<GatewayRun> {

  private static final Comparator<GatewayRun> ORDER =
      Comparator.comparingLong(GatewayRun::incarnation).thenComparing(GatewayRun::name);

  @Override
  public int compareTo(GatewayRun other) {
    return ORDER.compare(this, other);
  }
}
