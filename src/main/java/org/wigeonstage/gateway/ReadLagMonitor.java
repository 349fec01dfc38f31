package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.MonotonicClock;

/**
 * How far the reading of callers' requests is behind their arrival.
 *
 * <p>Answers the load pattern of a process that has just started, or has lost its processor, while
 * callers wait: their requests are read late, and some callers have left by then. Passes barriers
 * through the thread that reads, and measures how long they take.
 */
final class ReadLagMonitor {

  /** Between two barriers; short against the objectives of plain requests. */
  private static final Duration INTERVAL = Duration.ofMillis(40);

  /** A lag of more is taken for a lack of processor time; usual rounds take a few milliseconds. */
  private static final Duration BEHIND = Duration.ofMillis(40);

  /** A barrier that takes longer was lost with its thread; the next one is passed. */
  private static final Duration LOST = Duration.ofSeconds(3);

  /** Barriers are passed for so long after the last request. */
  private static final Duration ACTIVE = Duration.ofSeconds(1);

  private final MonotonicClock clock;
  private @Nullable Consumer<Runnable> barrier;
  private Duration readAt;
  private Duration askedAt;
  private Duration caughtUpTo;
  private Duration caughtUpAt;
  private boolean asked;

  ReadLagMonitor(MonotonicClock clock) {
    this.clock = clock;
    Duration now = clock.elapsed();
    this.readAt = now;
    this.askedAt = now;
    this.caughtUpTo = now;
    this.caughtUpAt = now;
  }

  /**
   * Notes that a request was read.
   *
   * @param passBarrier passes a barrier through the thread that read it, and then runs an action
   */
  synchronized void read(Consumer<Runnable> passBarrier) {
    barrier = passBarrier;
    readAt = clock.elapsed();
  }

  /** Passes the next barrier when it is time. */
  void tick() {
    Consumer<Runnable> next = nextBarrier();
    if (next != null) {
      next.accept(this::caughtUp);
    }
  }

  private synchronized @Nullable Consumer<Runnable> nextBarrier() {
    Duration now = clock.elapsed();
    if (now.minus(readAt).compareTo(ACTIVE) > 0) {
      barrier = null;
    }
    Duration sinceAsked = now.minus(askedAt);
    boolean isWaiting = asked && sinceAsked.compareTo(LOST) < 0;
    if (isWaiting || barrier == null || sinceAsked.compareTo(INTERVAL) < 0) {
      return null;
    }
    asked = true;
    askedAt = now;
    return barrier;
  }

  private synchronized void caughtUp() {
    asked = false;
    caughtUpTo = askedAt;
    caughtUpAt = clock.elapsed();
  }

  /** Returns whether requests that are read now may have arrived long ago. */
  synchronized boolean isBehind() {
    Duration now = clock.elapsed();
    boolean isWaiting = asked && now.minus(askedAt).compareTo(BEHIND) > 0;
    boolean wasBehind =
        caughtUpAt.minus(caughtUpTo).compareTo(BEHIND) > 0
            && now.minus(caughtUpAt).compareTo(INTERVAL.plus(BEHIND)) <= 0;
    return isWaiting || wasBehind;
  }

  /** Returns whether all was handled that had arrived at a time. */
  synchronized boolean isCaughtUpTo(Duration time) {
    return caughtUpTo.compareTo(time) > 0;
  }

  /**
   * Returns when a request arrived that is read now. Where reading is behind, that is somewhere
   * between the last barrier and now; the middle is taken.
   */
  synchronized Duration arrivalTime() {
    Duration now = clock.elapsed();
    return isBehind() ? caughtUpTo.plus(now.minus(caughtUpTo).dividedBy(2)) : now;
  }
}
