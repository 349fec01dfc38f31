package org.wigeonstage.quota;

import java.time.Duration;

/**
 * A token bucket, whose tokens are quota units. Its level falls below zero when units are charged
 * that have already been used, or when a request above the capacity acquires them.
 */
final class UnitBucket {

  private static final double NANOS_PER_SECOND = 1e9;

  private double unitsPerSecond;
  private double capacity;
  private double level;
  private Duration updatedAt;

  UnitBucket(double unitsPerSecond, double capacity, double level, Duration now) {
    this.unitsPerSecond = unitsPerSecond;
    this.capacity = capacity;
    this.level = level;
    this.updatedAt = now;
  }

  /** Changes the refill rate and the capacity. */
  void resize(double newUnitsPerSecond, double newCapacity, Duration now) {
    refill(now);
    unitsPerSecond = newUnitsPerSecond;
    capacity = newCapacity;
    level = Math.min(level, capacity);
  }

  /**
   * Acquires units if the level covers them. A request above the capacity succeeds when the bucket
   * is full, and leaves the level negative.
   */
  boolean tryAcquire(double units, Duration now) {
    refill(now);
    if (level < Math.min(units, capacity)) {
      return false;
    }
    level -= units;
    return true;
  }

  /**
   * Acquires the units, or as many of them as are available. Afterwards the level is at least zero,
   * also if it was negative before.
   */
  void acquireUpTo(double units, Duration now) {
    refill(now);
    level = Math.max(0, Math.min(capacity, level - units));
  }

  /**
   * Charges units that have already been used. The refill repays the resulting debt before new
   * units become available. The debt does not take the level below {@code minLevel}.
   */
  void charge(double units, double minLevel, Duration now) {
    refill(now);
    level = Math.max(Math.min(level, minLevel), level - units);
  }

  /** Returns the units that are used and not yet replenished. */
  double used(Duration now) {
    refill(now);
    return capacity - level;
  }

  /** Puts units back, up to the capacity. */
  void refund(double units, Duration now) {
    refill(now);
    level = Math.min(capacity, level + units);
  }

  /** Returns the time until {@link #tryAcquire} succeeds for the units. */
  Duration timeUntilAvailable(double units, Duration now) {
    return timeUntilLevel(Math.min(units, capacity), now);
  }

  /**
   * Returns the time in which the refill rate adds what the level lacks. The required level may
   * exceed the capacity, and is then never reached.
   */
  Duration timeUntilLevel(double requiredLevel, Duration now) {
    refill(now);
    double lacking = requiredLevel - level;
    return lacking <= 0
        ? Duration.ZERO
        : Duration.ofNanos((long) (lacking / unitsPerSecond * NANOS_PER_SECOND));
  }

  private void refill(Duration now) {
    double seconds = now.minus(updatedAt).toNanos() / NANOS_PER_SECOND;
    if (seconds > 0) {
      level = Math.min(capacity, level + seconds * unitsPerSecond);
      updatedAt = now;
    }
  }
}
