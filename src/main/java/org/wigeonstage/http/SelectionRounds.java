package org.wigeonstage.http;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.time.Duration;
import java.util.Set;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;
import org.wigeonstage.common.MonotonicClock;

/**
 * Measures the rounds of a selector thread, to tell how long a request may have waited to be read.
 *
 * <p>What a round reads had not come when the round before looked. For one selector thread.
 */
final class SelectionRounds extends DefaultSelectorHandler {

  /**
   * A look that takes longer found nothing at first; one that finds something takes microseconds.
   */
  private static final Duration BLOCKED = Duration.ofMillis(1);

  private final MonotonicClock clock;
  private Duration lookedAt;
  private Duration notBefore;
  private long round;

  /** When a connection was accepted, and what the round that did so could tell. */
  record Acceptance(Duration at, Duration notBefore, long round) {}

  SelectionRounds(MonotonicClock clock) {
    this.clock = clock;
    this.lookedAt = clock.elapsed();
    this.notBefore = lookedAt;
  }

  /**
   * Selects as usual. A separate look before a blocking one would swallow the signal that wakes the
   * thread for tasks, so whether it blocked is told by the time that it took.
   */
  @Override
  public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
    round++;
    Duration before = clock.elapsed();
    Set<SelectionKey> keys = super.select(runner);
    Duration after = clock.elapsed();
    boolean hasBlocked = after.minus(before).compareTo(BLOCKED) > 0;
    notBefore = hasBlocked ? before : lookedAt;
    lookedAt = after;
    return keys;
  }

  /** Returns what can be told of a connection that this round accepted; on the selector thread. */
  Acceptance accepted() {
    return new Acceptance(clock.elapsed(), notBefore, round);
  }

  /** Returns when a request came in whose head this round read; on the selector thread. */
  Arrival arrival(Acceptance connection) {
    // A connection is looked at for the first time in the round after its acceptance.
    boolean isFirstCycle = round <= connection.round() + 1;
    Duration earliest = isFirstCycle ? connection.notBefore() : notBefore;
    return new Arrival(connection.at(), earliest, clock.elapsed(), isFirstCycle);
  }
}
