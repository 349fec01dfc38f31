package org.wigeonstage.wire;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;

/**
 * Selector handler that pauses between two selections, so that one wake-up serves all connections
 * that become ready in the meantime. Supports a single selector thread.
 */
final class PausingSelectorHandler extends DefaultSelectorHandler {

  private final long pauseNanos;
  private long selectedAtNanos;

  PausingSelectorHandler(Duration pause) {
    this.pauseNanos = pause.toNanos();
    this.selectedAtNanos = System.nanoTime() - pauseNanos;
  }

  @Override
  public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
    long remainingNanos = pauseNanos - (System.nanoTime() - selectedAtNanos);
    if (remainingNanos > 0) {
      LockSupport.parkNanos(remainingNanos);
    }
    Set<SelectionKey> keys = super.select(runner);
    selectedAtNanos = System.nanoTime();
    return keys;
  }
}
