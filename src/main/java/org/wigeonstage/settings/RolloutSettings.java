package org.wigeonstage.settings;

import java.time.Duration;

/**
 * The limits of roll-outs of server versions.
 *
 * @param maxShare the share of the requests of a pool that a faulty version may get, from 0 to 1
 * @param slack the requests that a faulty version may get in addition
 * @param rollbackMillis the time after the fiftieth faulty response of a version after which it
 *     must get no more requests, in milliseconds
 */
public record RolloutSettings(double maxShare, int slack, long rollbackMillis) {

  /**
   * Returns the time after the fiftieth faulty response of a version after which it must get no
   * more requests.
   *
   * @return the time
   */
  public Duration rollbackDelay() {
    return Duration.ofMillis(rollbackMillis);
  }
}
