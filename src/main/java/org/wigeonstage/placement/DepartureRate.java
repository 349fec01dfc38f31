package org.wigeonstage.placement;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** The rate at which requests leave their servers, over a sliding window. */
final class DepartureRate {

  /** Fewer departures than this tell nothing about the rate. */
  private static final int MIN_DEPARTURES = 5;

  private final Duration window;
  private final Deque<Duration> departures = new ArrayDeque<>();

  DepartureRate(Duration window) {
    this.window = window;
  }

  void departed(Duration now) {
    departures.addLast(now);
    forgetBefore(now.minus(window));
  }

  /** Returns how long a number of departures takes, or zero where the rate is not known. */
  Duration timeFor(int count, Duration now) {
    forgetBefore(now.minus(window));
    if (departures.size() < MIN_DEPARTURES) {
      return Duration.ZERO;
    }
    return window.multipliedBy(count).dividedBy(departures.size());
  }

  private void forgetBefore(Duration time) {
    while (!departures.isEmpty() && departures.peekFirst().compareTo(time) < 0) {
      departures.removeFirst();
    }
  }
}
