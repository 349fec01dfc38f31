package org.wigeonstage.capacity;

import java.time.Duration;

/**
 * How many requests one server handles well: a gradient limiter.
 *
 * <p>A server that is slower than the pool gets a limit in inverse proportion, which keeps the time
 * that a request spends there. If it stays slow at that limit, the limit is cut once more as a
 * probe. If it is then as fast as the others, load was the cause: the limit stays below the level
 * at which the server slowed down, and is raised past it only in long intervals. Otherwise the
 * server is slow at any load, a lower limit gains nothing, and the proportional one is restored.
 *
 * <p>An AIMD limiter was considered. It needs many samples at each level of load, and a gateway has
 * about one per second and server.
 */
final class ConcurrencyLimiter {

  /** Servers that are less slow than this, compared to the pool, have no limit below the slots. */
  private static final double TOLERATED_SLOWNESS = 1.5;

  private static final double FLOOR_SHARE = 0.25;
  private static final double PROBE_SHARE = 0.7;

  /** Load is the cause of slowness if a lower limit reduces it to this share. */
  private static final double HELPED_SHARE = 0.7;

  /** Evidence needs about this time to follow a changed limit. */
  private static final Duration SETTLING_TIME = Duration.ofMillis(1500);

  /** From the floor of 9 slots to all of them in 4 s. */
  private static final Duration RAISE_INTERVAL = Duration.ofMillis(500);

  /** The interval of raises past a level at which the server has slowed down. */
  private static final Duration CAREFUL_RAISE_INTERVAL = Duration.ofMillis(1200);

  /** How long a server that is slow at any load is not probed again. */
  private static final Duration PROBE_PAUSE = Duration.ofSeconds(10);

  private static final int NO_KNEE = Integer.MAX_VALUE;

  private double limit = Double.MAX_VALUE;
  private int knee = NO_KNEE;
  private boolean isProbing;
  private double slownessBeforeProbe;
  private int limitBeforeProbe;
  private Duration changedAt = Duration.ZERO;
  private Duration nextProbeAt = Duration.ZERO;

  /**
   * Updates the limit.
   *
   * @param slots the slots of the server
   * @param slowness the times of the server, as a multiple of those usual in the pool at its load
   * @param mostOccupied the highest number of requests at the server since the last update
   * @param now the current time
   */
  void update(int slots, double slowness, int mostOccupied, Duration now) {
    double floor = floor(slots);
    limit = Math.min(Math.max(limit, floor), slots);
    boolean hasSettled = now.minus(changedAt).compareTo(SETTLING_TIME) >= 0;
    if (slowness <= TOLERATED_SLOWNESS) {
      if (isProbing && hasSettled) {
        isProbing = false;
        knee = limitBeforeProbe;
      }
      raise(slots, mostOccupied, now);
      return;
    }
    double proportional = Math.max(floor, slots * TOLERATED_SLOWNESS / slowness);
    if (limit > proportional) {
      change(proportional, now);
    } else if (hasSettled && isProbing) {
      isProbing = false;
      if (slowness <= slownessBeforeProbe * HELPED_SHARE) {
        knee = limitBeforeProbe;
      } else {
        nextProbeAt = now.plus(PROBE_PAUSE);
        change(proportional, now);
      }
    } else if (hasSettled && now.compareTo(nextProbeAt) >= 0 && mostOccupied >= (int) limit) {
      startProbe(Math.max(floor, limit * PROBE_SHARE), slowness, now);
    }
  }

  private void startProbe(double lower, double slowness, Duration now) {
    if (lower < limit) {
      isProbing = true;
      slownessBeforeProbe = slowness;
      limitBeforeProbe = (int) limit;
      change(lower, now);
    }
  }

  /** Raises the limit by one if it is reached, or quickly if it is far below a known level. */
  private void raise(int slots, int mostOccupied, Duration now) {
    boolean isCareful = limit + 1 >= knee;
    Duration interval = isCareful ? CAREFUL_RAISE_INTERVAL : RAISE_INTERVAL;
    boolean isUsed = !isCareful || mostOccupied >= (int) limit;
    if (limit < slots && isUsed && now.minus(changedAt).compareTo(interval) >= 0) {
      change(Math.min(slots, limit + 1), now);
      knee = limit >= slots ? NO_KNEE : knee;
    }
  }

  private void change(double newLimit, Duration now) {
    limit = newLimit;
    changedAt = now;
  }

  private static double floor(int slots) {
    return Math.max(1, Math.ceil(slots * FLOOR_SHARE));
  }

  int limit(int slots) {
    return (int) Math.max(floor(slots), Math.min(slots, limit));
  }
}
