package org.wigeonstage.placement;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** Estimates waiting times from the rate of started requests over a sliding window. */
final class StartRateEstimator {

  /** The rate over a shorter time is not meaningful. */
  private static final Duration MIN_OBSERVATION = Duration.ofMillis(250);

  private final Duration window;
  private final Deque<Start> starts = new ArrayDeque<>();

  private record Start(Duration at, Urgency urgency) {}

  StartRateEstimator(Duration window) {
    this.window = window;
  }

  void recordStart(Urgency urgency, Duration now) {
    removeExpired(now);
    starts.addLast(new Start(now, urgency));
  }

  /**
   * Returns the expected time to start a number of waiting requests, based on the requests started
   * since they began to wait; zero if they have waited too briefly to tell. Starts of more urgent
   * requests are not counted, because those go first. Starts of less urgent ones are counted,
   * because their slots would have gone to the waiting requests.
   */
  Duration expectedTimeToStart(int count, Urgency urgency, Duration waitingSince, Duration now) {
    removeExpired(now);
    Duration waited = now.minus(waitingSince);
    if (count == 0 || waited.compareTo(MIN_OBSERVATION) < 0) {
      return Duration.ZERO;
    }
    Duration observed = Comparators.min(waited, window);
    Duration oldest = now.minus(observed);
    long started =
        starts.stream()
            .filter(start -> start.at().compareTo(oldest) >= 0)
            .filter(start -> start.urgency().compareTo(urgency) >= 0)
            .count();
    return observed.multipliedBy(count).dividedBy(Math.max(1, started));
  }

  private void removeExpired(Duration now) {
    Duration oldest = now.minus(window);
    Iterator<Start> iterator = starts.iterator();
    while (iterator.hasNext() && iterator.next().at().compareTo(oldest) < 0) {
      iterator.remove();
    }
  }
}
