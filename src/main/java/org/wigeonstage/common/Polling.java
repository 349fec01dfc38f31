package org.wigeonstage.common;

import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Waits by polling for conditions that no event signals. */
public final class Polling {

  private static final long INTERVAL_MILLIS = 20;

  private Polling() {}

  /**
   * Waits until a condition holds, checking it every 20 ms.
   *
   * @param condition the condition
   * @param timeout the maximum time to wait
   * @return whether the condition held before the timeout
   * @throws InterruptedException if the thread is interrupted while waiting
   */
  public static boolean await(BooleanSupplier condition, Duration timeout)
      throws InterruptedException {
    MonotonicClock clock = MonotonicClock.system();
    Duration deadline = clock.elapsed().plus(timeout);
    return await(condition, () -> clock.elapsed().compareTo(deadline) > 0);
  }

  /**
   * Waits until a condition holds or a deadline that may change meanwhile has passed, checking both
   * every 20 ms.
   *
   * @param condition the condition
   * @param isTooLate whether the deadline has passed
   * @return whether the condition held before the deadline
   * @throws InterruptedException if the thread is interrupted while waiting
   */
  public static boolean await(BooleanSupplier condition, BooleanSupplier isTooLate)
      throws InterruptedException {
    while (!condition.getAsBoolean()) {
      if (isTooLate.getAsBoolean()) {
        return false;
      }
      Thread.sleep(INTERVAL_MILLIS);
    }
    return true;
  }
}
