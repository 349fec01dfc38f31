package org.wigeonstage.quota;

import java.time.Duration;

/** A bucket that fills at a steady rate up to a limit. */
final class TokenBucket {

  private static final double NANOS_PER_SECOND = 1e9;

  private double perSecond;
  private double capacity;
  private double level;
  private Duration updatedAt;

  TokenBucket(double perSecond, double capacity, double level, Duration now) {
    this.perSecond = perSecond;
    this.capacity = capacity;
    this.level = level;
    this.updatedAt = now;
  }

  /** Changes rate and capacity. */
  void resize(double newPerSecond, double newCapacity, Duration now) {
    refill(now);
    perSecond = newPerSecond;
    capacity = newCapacity;
    level = Math.min(level, capacity);
  }

  /** Takes units if there are as many, or if the bucket is full and can't hold as many. */
  boolean tryAcquire(double units, Duration now) {
    refill(now);
    if (level < Math.min(units, capacity)) {
      return false;
    }
    level -= units;
    return true;
  }

  /** Takes as many of the units as there are. */
  void takeUpTo(double units, Duration now) {
    refill(now);
    level = Math.max(0, Math.min(capacity, level - units));
  }

  /** Takes units that are used already; what is missing is paid back first, down to a level. */
  void takeUsed(double units, double lowest, Duration now) {
    refill(now);
    level = Math.max(Math.min(level, lowest), level - units);
  }

  /** Returns what was taken and has not come back. */
  double missing(Duration now) {
    refill(now);
    return capacity - level;
  }

  /** Gives units back. */
  void give(double units, Duration now) {
    refill(now);
    level = Math.min(capacity, level + units);
  }

  /** Returns how long it takes until the units are there. */
  Duration timeUntilAvailable(double units, Duration now) {
    return timeUntilLevel(Math.min(units, capacity), now);
  }

  /** Returns how long it takes to fill up to a level, which may be above what the bucket holds. */
  Duration timeUntilLevel(double wanted, Duration now) {
    refill(now);
    double missing = wanted - level;
    return missing <= 0
        ? Duration.ZERO
        : Duration.ofNanos((long) (missing / perSecond * NANOS_PER_SECOND));
  }

  private void refill(Duration now) {
    double seconds = now.minus(updatedAt).toNanos() / NANOS_PER_SECOND;
    if (seconds > 0) {
      level = Math.min(capacity, level + seconds * perSecond);
      updatedAt = now;
    }
  }
}
