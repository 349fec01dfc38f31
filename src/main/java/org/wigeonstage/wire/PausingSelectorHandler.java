package org.wigeonstage.wire;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;
import org.wigeonstage.common.MonotonicClock;

/**
 * Selector handler that pauses between two selections, so that one wake-up serves all connections
 * that become ready in the meantime. Supports a single selector thread.
 */
final class PausingSelectorHandler extends DefaultSelectorHandler {

  private final MonotonicClock clock;
  private final Duration pause;
  private Duration selectedAt;

  PausingSelectorHandler(MonotonicClock clock, Duration pause) {
    this.clock = clock;
    this.pause = pause;
    this.selectedAt = clock.elapsed().minus(pause);
  }

  @Override
  public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
    Duration remaining = pause.minus(clock.elapsed().minus(selectedAt));
    if (remaining.compareTo(Duration.ZERO) > 0) {
      LockSupport.parkNanos(remaining.toNanos());
    }
    Set<SelectionKey> keys = super.select(runner);
    selectedAt = clock.elapsed();
    return keys;
  }
}
