package org.wigeonstage.peering;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Determines when a gateway connects to a peer. The gateway that started later connects at once;
 * the other one leaves it the time to do so, and then connects, too, for a network in which only
 * one direction works. The delay between attempts grows to a bound, and is random so that two
 * gateways do not stay in step. Not thread-safe.
 */
final class DialSchedule {

  static final Duration MIN_RETRY_DELAY = Duration.ofMillis(200);

  /** A stopped peer must be found stopped again before its usage of quotas is assumed. */
  static final Duration MAX_RETRY_DELAY = Duration.ofMillis(800);

  /** The time for which the gateway that started earlier leaves it to the other to connect. */
  static final Duration PASSIVE_DELAY = Duration.ofMillis(150);

  /** The time after which a gateway that the peer has refused connects again. */
  static final Duration REFUSED_DELAY = Duration.ofSeconds(5);

  private final RandomGenerator random;
  private int attempts;
  private Duration dueAt;

  DialSchedule(RandomGenerator random, boolean startedLater, Duration now) {
    this.random = random;
    this.dueAt = firstDueAt(startedLater, now);
  }

  boolean isDue(Duration now) {
    return now.compareTo(dueAt) >= 0;
  }

  /** Records an attempt, which counts as failed until {@link #reset} is called. */
  void recordAttempt(Duration now) {
    Duration delay = MIN_RETRY_DELAY;
    for (int i = 0; i < attempts && delay.compareTo(MAX_RETRY_DELAY) < 0; i++) {
      delay = delay.multipliedBy(2);
    }
    attempts++;
    dueAt = now.plus(jittered(delay.compareTo(MAX_RETRY_DELAY) < 0 ? delay : MAX_RETRY_DELAY));
  }

  void recordRefusal(Duration now) {
    dueAt = now.plus(jittered(REFUSED_DELAY));
  }

  /** Starts again after a link that has lasted. */
  void reset(boolean startedLater, Duration now) {
    attempts = 0;
    dueAt = firstDueAt(startedLater, now);
  }

  private Duration firstDueAt(boolean startedLater, Duration now) {
    return startedLater ? now : now.plus(jittered(PASSIVE_DELAY));
  }

  /** Returns between a half and all of a delay. */
  private Duration jittered(Duration delay) {
    long nanos = delay.toNanos();
    return Duration.ofNanos(nanos / 2 + random.nextLong(nanos / 2 + 1));
  }
}
