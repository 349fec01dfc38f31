package org.wigeonstage.rollout;

import java.time.Duration;
import java.util.List;

/**
 * What a gateway reports to the elected one about an open order.
 *
 * @param order the order as far as the gateway knows it
 * @param age the time since the order was known
 * @param hasLeftOthers whether the gateway sends no requests to servers of other versions any more,
 *     until another revision of the order allows it
 * @param runningAtOthers the number of its requests that run on such servers
 * @param counts the responses that it has received since it has known the order; those of which
 *     nothing has changed since its previous report are left out
 */
public record RolloutReport(
    RolloutOrder order,
    Duration age,
    boolean hasLeftOthers,
    int runningAtOthers,
    List<ResponseCounts> counts) {

  /** Copies the list. */
  public RolloutReport {
    counts = List.copyOf(counts);
  }
}
