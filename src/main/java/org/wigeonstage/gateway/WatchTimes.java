package org.wigeonstage.gateway;

import com.google.common.collect.Comparators;
import java.time.Duration;

/**
 * Determines how long the store may hold a call that waits for a change. Each call has its price,
 * whether there are changes or not, so the calls are as long as the bounds of the deployment allow.
 *
 * @param configuration the maximum time of a call that waits for a changed configuration
 * @param servers the maximum time of a call that waits for a changed list of backend servers
 */
record WatchTimes(Duration configuration, Duration servers) {

  /**
   * The time from the end of a call to the result of the next one, if the response to the first
   * call is lost: 0.6 s until the loss is noticed ({@code PlatformStoreClient.WATCH_MARGIN}), and
   * 0.2 s for the interval between the calls and for the second call.
   */
  static final Duration LOSS_DETECTION_TIME = Duration.ofMillis(800);

  /**
   * The maximum time of a call. A lost one must take less time than what {@code ServerRetention}
   * considers an outage, 2.3 s.
   */
  static final Duration MAX_WATCH_TIME = Duration.ofMillis(1600);

  private static final Duration MIN_WATCH_TIME = Duration.ofMillis(200);

  /**
   * Returns the times for the bounds of a deployment.
   *
   * @param configurationDelay the time within which a changed configuration must be in force
   * @param leavingDelay the time within which a leaving server must get no more requests
   */
  static WatchTimes of(Duration configurationDelay, Duration leavingDelay) {
    return new WatchTimes(within(configurationDelay), within(leavingDelay));
  }

  private static Duration within(Duration bound) {
    Duration longest = Comparators.min(bound.minus(LOSS_DETECTION_TIME), MAX_WATCH_TIME);
    return Comparators.max(longest, MIN_WATCH_TIME);
  }
}
