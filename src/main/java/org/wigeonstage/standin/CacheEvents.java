package org.wigeonstage.standin;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * An engine stand-in's events about its prefix cache. They become visible after a delay. One in
 * {@value #LOST_ONE_IN} is lost, and only the latest {@value #MAX_EVENTS} are kept. Safe for use by
 * several threads.
 */
final class CacheEvents {

  private static final Duration DELIVERY_DELAY = Duration.ofSeconds(1);
  private static final int LOST_ONE_IN = 10;
  private static final int MAX_EVENTS = 1000;

  /**
   * A block that was added to the cache.
   *
   * @param sequence the event's number; numbers of lost events are missing
   * @param block the hash of the block and all blocks before it
   */
  record Event(long sequence, long block) {}

  private record Pending(long visibleAtMillis, Event event) {}

  private final InstantSource clock;
  private final Deque<Pending> events = new ArrayDeque<>();
  private long sequence;

  CacheEvents(InstantSource clock) {
    this.clock = clock;
  }

  synchronized void add(long block) {
    sequence++;
    if (sequence % LOST_ONE_IN == 0) {
      return;
    }
    events.addLast(
        new Pending(clock.millis() + DELIVERY_DELAY.toMillis(), new Event(sequence, block)));
    if (events.size() > MAX_EVENTS) {
      events.removeFirst();
    }
  }

  /** Returns the visible events with sequence numbers above the given one. */
  synchronized List<Event> after(long number) {
    long now = clock.millis();
    return events.stream()
        .filter(pending -> pending.visibleAtMillis() <= now)
        .map(Pending::event)
        .filter(event -> event.sequence() > number)
        .toList();
  }
}
