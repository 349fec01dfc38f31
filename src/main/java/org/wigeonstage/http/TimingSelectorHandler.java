package org.wigeonstage.http;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.time.Duration;
import java.util.Set;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;
import org.wigeonstage.common.MonotonicClock;

/**
 * Selector handler that measures its selection cycles, to bound the time that requests wait until
 * they are read. Data that is read in one cycle had not arrived when the previous cycle selected.
 *
 * <p>The earliest arrival of a cycle is a lower bound of the arrival time of everything that the
 * cycle found ready: data, or connections to accept.
 *
 * <p>Supports a single selector thread.
 */
final class TimingSelectorHandler extends DefaultSelectorHandler {

  /**
   * A selection that takes longer than this has blocked, so no connection was ready when it
   * started. A selection that finds ready connections at once takes microseconds.
   */
  private static final Duration BLOCKING_THRESHOLD = Duration.ofMillis(1);

  private final MonotonicClock clock;
  private Duration selectedAt;
  private Duration earliestArrival;
  private long cycle;

  /**
   * The acceptance of a connection.
   *
   * @param acceptedAt when the connection was accepted
   * @param earliestArrival the earliest arrival of the cycle that accepted the connection
   * @param cycle the number of the accepting cycle
   */
  record Acceptance(Duration acceptedAt, Duration earliestArrival, long cycle) {}

  TimingSelectorHandler(MonotonicClock clock) {
    this.clock = clock;
    this.selectedAt = clock.elapsed();
    this.earliestArrival = selectedAt;
  }

  /**
   * Selects and measures how long the selection takes, to determine whether it blocked. A separate
   * non-blocking selection beforehand would show this directly, but would consume the wake-up
   * signal for tasks that other threads have added.
   */
  @Override
  public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
    cycle++;
    Duration before = clock.elapsed();
    Set<SelectionKey> keys = super.select(runner);
    Duration after = clock.elapsed();
    boolean hasBlocked = after.minus(before).compareTo(BLOCKING_THRESHOLD) > 0;
    // A selection that returned at once may have found data that arrived at any time after the
    // previous one.
    earliestArrival = hasBlocked ? before : selectedAt;
    selectedAt = after;
    return keys;
  }

  /** Returns the acceptance of a connection in the current cycle; call on the selector thread. */
  Acceptance acceptance() {
    return new Acceptance(clock.elapsed(), earliestArrival, cycle);
  }

  /**
   * Returns the arrival of a request whose head was read in the current cycle; call on the selector
   * thread.
   */
  Arrival arrival(Acceptance acceptance) {
    // A connection is first included in the selection of the cycle after its acceptance.
    boolean isFirstCycle = cycle <= acceptance.cycle() + 1;
    Duration earliest = isFirstCycle ? acceptance.earliestArrival() : earliestArrival;
    return new Arrival(acceptance.acceptedAt(), earliest, clock.elapsed(), isFirstCycle);
  }
}
