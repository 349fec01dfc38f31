package org.wigeonstage.http;

import com.google.common.collect.Comparators;
import java.time.Duration;

/**
 * The times at which a request arrived and was read, on the clock of its {@link HttpServer}. In
 * each selection cycle, the server's selector thread waits until connections have data, and reads
 * it.
 *
 * @param acceptedAt when the server accepted the connection
 * @param earliestArrival a lower bound of the arrival time of everything that was ready in the
 *     selection cycle that read the request or, if {@code isFirstCycle}, in the cycle that accepted
 *     the connection
 * @param readAt when the server had read the request's head
 * @param isFirstCycle whether the request was read in the first selection cycle that included its
 *     connection; it may then have waited, for an unknown time, until the connection was accepted
 */
public record Arrival(
    Duration acceptedAt, Duration earliestArrival, Duration readAt, boolean isFirstCycle) {

  /**
   * Limits an estimate of the arrival to the time in which the request can have arrived. If {@link
   * #isFirstCycle} is true, this time has no known start.
   *
   * @param estimate the estimate
   * @return the estimate, or the limit that is nearest to it
   */
  public Duration limit(Duration estimate) {
    Duration notAfterRead = Comparators.min(estimate, readAt);
    return isFirstCycle ? notAfterRead : Comparators.max(notAfterRead, earliestArrival);
  }

  /**
   * Returns the longest time for which the request can have waited to be read. If {@link
   * #isFirstCycle} is true, a wait until its connection was accepted may not be included.
   *
   * @return the time from the earliest possible arrival until the head was read
   */
  public Duration maxReadDelay() {
    return readAt.minus(earliestArrival);
  }
}
