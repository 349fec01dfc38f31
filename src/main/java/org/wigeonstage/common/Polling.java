package org.wigeonstage.common;

import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Waits for conditions that nothing signals. */
public final class Polling {

  private static final long INTERVAL_MILLIS = 20;

  private Polling() {}

  /**
   * Waits until a condition holds.
   *
   * @param condition the condition
   * @param limit how long to wait
   * @return whether it held in time
   * @throws InterruptedException where the thread is interrupted
   */
  public static boolean await(BooleanSupplier condition, Duration limit)
      throws InterruptedException {
    MonotonicClock clock = MonotonicClock.system();
    Duration end = clock.elapsed().plus(limit);
    while (!condition.getAsBoolean()) {
      if (clock.elapsed().compareTo(end) > 0) {
        return false;
      }
      Thread.sleep(INTERVAL_MILLIS);
    }
    return true;
  }
}
