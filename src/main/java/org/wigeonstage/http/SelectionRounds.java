package org.wigeonstage.http;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.time.Duration;
import java.util.Set;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.attributes.AttributeStorage;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;
import org.wigeonstage.common.MonotonicClock;

/**
 * Measures the rounds of a selector thread, to tell how long a request may have waited to be read.
 *
 * <p>What a round reads had not come when the round before looked. For one selector thread.
 */
final class SelectionRounds extends DefaultSelectorHandler {

  private static final Attribute<Accepted> ACCEPTED =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("wigeonstage.accepted");
  private static final Attribute<Arrival> ARRIVAL =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("wigeonstage.arrival");

  /**
   * A look that takes longer found nothing at first; one that finds something takes microseconds.
   */
  private static final Duration BLOCKED = Duration.ofMillis(1);

  private final MonotonicClock clock;
  private Duration lookedAt;
  private Duration notBefore;
  private long round;

  /** When a connection was accepted, and what the round that did so could tell. */
  private record Accepted(Duration at, Duration notBefore, long round) {}

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

  /** Notes on a connection that it was accepted; on the selector thread. */
  void accepted(AttributeStorage connection) {
    ACCEPTED.set(connection, new Accepted(clock.elapsed(), notBefore, round));
  }

  /** Notes on a request that its head was read from a connection; on the selector thread. */
  void read(AttributeStorage connection, AttributeStorage request) {
    Duration now = clock.elapsed();
    Accepted accepted = ACCEPTED.get(connection);
    if (accepted == null) {
      ARRIVAL.set(request, new Arrival(now, notBefore, now, false));
      return;
    }
    // A connection is looked at for the first time in the round after its acceptance.
    boolean isFirstLook = round <= accepted.round() + 1;
    Duration earliest = isFirstLook ? accepted.notBefore() : notBefore;
    ARRIVAL.set(request, new Arrival(accepted.at(), earliest, now, isFirstLook));
  }

  /** Returns what was noted on a request when its head was read. */
  static Arrival arrivalOf(AttributeStorage request) {
    Arrival arrival = ARRIVAL.get(request);
    if (arrival == null) {
      throw new IllegalStateException("the request was read without its arrival");
    }
    return arrival;
  }
}
