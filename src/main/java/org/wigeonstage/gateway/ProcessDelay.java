package org.wigeonstage.gateway;

import java.time.Duration;

/** Measures for how long this process could work, by how late its periodic checks run. */
final class ProcessDelay {

  /** Twice the usual interval between two ticks; a longer one shows a lack of processor time. */
  private static final Duration MAX_TICK_INTERVAL = Duration.ofMillis(40);

  /** What a late tick adds to {@link #activeTime()}, so that unresponsive servers are detected. */
  private static final Duration LATE_TICK_ACTIVE_TIME = Duration.ofMillis(5);

  private Duration activeTime = Duration.ZERO;
  private Duration lastTickAt;

  ProcessDelay(Duration now) {
    this.lastTickAt = now;
  }

  /** Returns whether the process is late at the given time, so that it could not start requests. */
  boolean isLate(Duration now) {
    return now.minus(lastTickAt).compareTo(MAX_TICK_INTERVAL) > 0;
  }

  Duration lastTickAt() {
    return lastTickAt;
  }

  /** Records that the periodic checks run now, and returns the time since they last did. */
  Duration tick(Duration now) {
    Duration sinceLastTick = now.minus(lastTickAt);
    activeTime = activeTime.plus(isLate(now) ? LATE_TICK_ACTIVE_TIME : sinceLastTick);
    lastTickAt = now;
    return sinceLastTick;
  }

  /** Returns the time for which the process could read its connections; see {@link GatewayCore}. */
  Duration activeTime() {
    return activeTime;
  }
}
