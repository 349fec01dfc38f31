package org.wigeonstage.gateway;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Executes actions in the order of their virtual times. */
final class VirtualTime {

  private record Event(long atMillis, long order, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
  private final SplittableRandom random;
  private final long endOfFaultsMillis;
  private long nowMillis;
  private long eventCount;

  /**
   * Creates a queue without actions.
   *
   * @param random selects the intervals of repeated actions
   * @param endOfFaultsMillis when repeated actions end
   */
  VirtualTime(SplittableRandom random, long endOfFaultsMillis) {
    this.random = random;
    this.endOfFaultsMillis = endOfFaultsMillis;
  }

  long nowMillis() {
    return nowMillis;
  }

  void at(long delayMillis, Runnable action) {
    events.add(new Event(nowMillis + delayMillis, eventCount++, action));
  }

  /** Repeats an action at random intervals until the end of the faults. */
  void every(int minMillis, int maxMillis, Runnable action) {
    at(
        random.nextInt(minMillis, maxMillis),
        () -> {
          if (nowMillis < endOfFaultsMillis) {
            action.run();
            every(minMillis, maxMillis, action);
          }
        });
  }

  void executeUntil(long endMillis) {
    while (!events.isEmpty() && events.peek().atMillis() < endMillis) {
      Event event = events.remove();
      nowMillis = event.atMillis();
      event.action().run();
    }
  }
}
