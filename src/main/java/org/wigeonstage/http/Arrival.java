package org.wigeonstage.http;

import java.time.Duration;

/**
 * When a request came in, on the clock of its {@link HttpServer}.
 *
 * @param connectedAt when its connection was accepted
 * @param earliestAt the earliest moment at which its first bytes can have come: when the thread
 *     that reads had last seen that nothing of it was there
 * @param readAt when its head was read
 * @param isFirstCycle whether it was there when its connection was looked at for the first time; it
 *     may then have waited with the connection for acceptance, for longer than can be told
 */
public record Arrival(
    Duration connectedAt, Duration earliestAt, Duration readAt, boolean isFirstCycle) {

  /**
   * Returns how long the request can have waited to be read, at most.
   *
   * @return the time from the earliest arrival to the reading
   */
  public Duration maxReadDelay() {
    return readAt.minus(earliestAt);
  }
}
