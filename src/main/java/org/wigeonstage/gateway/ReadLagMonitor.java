package org.wigeonstage.gateway;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.MonotonicClock;

/**
 * Measures by how much the reading of callers' requests lags behind their arrival.
 *
 * <p>A process reads requests late if callers wait while it starts or has no processor time, and
 * some of these callers have disconnected by then. To detect this, the monitor sends barriers
 * through the thread that reads requests, and measures how long each takes to pass. A barrier
 * passes once everything is read that arrived before it was sent.
 */
final class ReadLagMonitor {

  /** Interval between two barriers; short compared with the objectives of plain requests. */
  private static final Duration BARRIER_INTERVAL = Duration.ofMillis(40);

  /** A longer lag means a lack of processor time; the reading thread usually needs a few ms. */
  private static final Duration MAX_LAG = Duration.ofMillis(40);

  /** A barrier that takes longer was lost because its thread ended; another one is sent. */
  private static final Duration BARRIER_TIMEOUT = Duration.ofSeconds(3);

  /** Barriers are sent for this long after the last request. */
  private static final Duration ACTIVE_PERIOD = Duration.ofSeconds(1);

  private final MonotonicClock clock;
  private @Nullable Consumer<Runnable> barrierSender;
  private Duration lastRequestAt;
  private Duration barrierSentAt;
  private Duration readUpTo;
  private Duration barrierPassedAt;
  private Duration lastTickAt;
  private boolean isBarrierPending;
  private long barrierNumber;

  ReadLagMonitor(MonotonicClock clock) {
    this.clock = clock;
    Duration now = clock.elapsed();
    this.lastRequestAt = now;
    this.barrierSentAt = now;
    this.readUpTo = now;
    this.barrierPassedAt = now;
    this.lastTickAt = now;
  }

  /**
   * Records that a request was read, and by which thread the next barriers are sent.
   *
   * @param sender sends a barrier through the thread that read the request, and runs the given
   *     action once the barrier has passed
   */
  synchronized void recordRequest(Consumer<Runnable> sender) {
    barrierSender = sender;
    lastRequestAt = clock.elapsed();
  }

  /** Sends the next barrier if the interval has passed. */
  void tick() {
    Consumer<Runnable> sender = startBarrier();
    if (sender != null) {
      long number = barrierNumber;
      sender.accept(() -> barrierPassed(number));
    }
  }

  private synchronized @Nullable Consumer<Runnable> startBarrier() {
    Duration now = clock.elapsed();
    if (now.minus(lastRequestAt).compareTo(ACTIVE_PERIOD) > 0) {
      barrierSender = null;
    }
    Duration sinceSent = now.minus(barrierSentAt);
    boolean isWaiting = isBarrierPending && sinceSent.compareTo(BARRIER_TIMEOUT) < 0;
    if (barrierSender == null && !isWaiting) {
      recordIdle(now);
    }
    lastTickAt = now;
    if (isWaiting || barrierSender == null || sinceSent.compareTo(BARRIER_INTERVAL) < 0) {
      return null;
    }
    isBarrierPending = true;
    barrierNumber++;
    barrierSentAt = now;
    return barrierSender;
  }

  /**
   * Records that no requests were read lately and none wait to be read. If this tick is late, the
   * process may have been suspended since the last one, and requests may have arrived meanwhile.
   */
  private void recordIdle(Duration now) {
    isBarrierPending = false;
    if (now.minus(lastTickAt).compareTo(MAX_LAG) <= 0) {
      readUpTo = now;
      barrierPassedAt = now;
    } else {
      readUpTo = Comparators.max(readUpTo, lastTickAt);
    }
  }

  private synchronized void barrierPassed(long number) {
    if (!isBarrierPending || number != barrierNumber) {
      return; // taken for lost
    }
    isBarrierPending = false;
    readUpTo = barrierSentAt;
    barrierPassedAt = clock.elapsed();
  }

  /** Returns whether requests that are read now may have arrived long ago. */
  synchronized boolean isBehind() {
    Duration now = clock.elapsed();
    boolean isWaiting = isBarrierPending && now.minus(barrierSentAt).compareTo(MAX_LAG) > 0;
    boolean wasBehind =
        barrierPassedAt.minus(readUpTo).compareTo(MAX_LAG) > 0
            && now.minus(barrierPassedAt).compareTo(BARRIER_INTERVAL.plus(MAX_LAG)) <= 0;
    return isWaiting || wasBehind;
  }

  /** Returns whether everything that had arrived at the given time has been read and handled. */
  synchronized boolean hasReadUpTo(Duration time) {
    return readUpTo.compareTo(time) > 0;
  }

  /**
   * Estimates when a request that is read now arrived. While reading lags behind, that is between
   * the sending of the last barrier that has passed and now; the estimate is the middle.
   */
  synchronized Duration estimatedArrival() {
    Duration now = clock.elapsed();
    return isBehind() ? readUpTo.plus(now.minus(readUpTo).dividedBy(2)) : now;
  }
}
