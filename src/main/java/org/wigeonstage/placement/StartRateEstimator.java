package org.wigeonstage.placement;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Estimates waiting times from the rate at which requests start while others wait.
 *
 * <p>Needed when a pool is overloaded from many gateways, each with a few requests: the queues of
 * one gateway are often empty for a moment. The rate therefore counts all the time within a sliding
 * window in which requests waited, not only the time since a queue was last empty.
 */
final class StartRateEstimator {

  /** The rate over a shorter time is not meaningful. */
  private static final Duration MIN_OBSERVATION = Duration.ofMillis(250);

  /**
   * Many times the usual interval between two updates; a longer one shows that this process was
   * suspended, during which nothing could start.
   */
  private static final Duration MAX_UPDATE_INTERVAL = Duration.ofSeconds(1);

  private final Duration window;
  private final Deque<Start> starts = new ArrayDeque<>();
  private final Map<Urgency, WaitingTimes> waitingTimes = new HashMap<>();

  private record Start(Duration at, Urgency urgency) {}

  /** A time in which requests of an urgency waited. The latest one grows while they still do. */
  private record Interval(Duration from, Duration until) {

    Duration lengthSince(Duration oldest) {
      Duration start = from.compareTo(oldest) > 0 ? from : oldest;
      return until.compareTo(start) > 0 ? until.minus(start) : Duration.ZERO;
    }

    boolean contains(Duration time) {
      return time.compareTo(from) >= 0 && time.compareTo(until) <= 0;
    }
  }

  /** The times in which requests of one urgency waited, the latest one last. */
  private static final class WaitingTimes {

    private final Deque<Interval> intervals = new ArrayDeque<>();
    private boolean isWaiting;

    void update(boolean isNowWaiting, Duration now) {
      if (isWaiting && isSoonAfter(intervals.getLast().until(), now)) {
        intervals.addLast(new Interval(intervals.removeLast().from(), now));
      } else if (isNowWaiting) {
        intervals.addLast(new Interval(now, now));
      }
      isWaiting = isNowWaiting;
    }

    /** Removes the time since the given one; requests that still wait do so from now on. */
    void exclude(Duration from, Duration now) {
      while (!intervals.isEmpty() && intervals.getLast().until().compareTo(from) > 0) {
        Interval last = intervals.removeLast();
        if (last.from().compareTo(from) < 0) {
          intervals.addLast(new Interval(last.from(), from));
        }
      }
      if (isWaiting) {
        intervals.addLast(new Interval(now, now));
      }
    }

    private static boolean isSoonAfter(Duration lastUpdate, Duration now) {
      return now.minus(lastUpdate).compareTo(MAX_UPDATE_INTERVAL) <= 0;
    }

    void removeBefore(Duration oldest) {
      while (!intervals.isEmpty() && intervals.getFirst().until().compareTo(oldest) < 0) {
        intervals.removeFirst();
        isWaiting &= !intervals.isEmpty();
      }
    }

    Duration totalSince(Duration oldest) {
      Duration total = Duration.ZERO;
      for (Interval interval : intervals) {
        total = total.plus(interval.lengthSince(oldest));
      }
      return total;
    }

    boolean contains(Duration time) {
      for (Interval interval : intervals) {
        if (interval.contains(time)) {
          return true;
        }
      }
      return false;
    }
  }

  StartRateEstimator(Duration window) {
    this.window = window;
  }

  void recordStart(Urgency urgency, Duration now) {
    removeExpired(now);
    starts.addLast(new Start(now, urgency));
  }

  /** Records whether requests of an urgency wait from now on. */
  void updateWaiting(Urgency urgency, boolean isWaiting, Duration now) {
    WaitingTimes times = waitingTimes.computeIfAbsent(urgency, key -> new WaitingTimes());
    times.removeBefore(now.minus(window));
    times.update(isWaiting, now);
  }

  /**
   * Excludes a time in which this process was late: requests then waited for it, which says nothing
   * about the servers.
   */
  void excludeDelay(Duration from, Duration now) {
    waitingTimes.values().forEach(times -> times.exclude(from, now));
  }

  /**
   * Returns the expected time to start a number of waiting requests, based on the requests started
   * while requests of this urgency waited; zero if they have waited too briefly to tell. Starts of
   * more urgent requests are not counted, because those go first. Starts of less urgent ones are
   * counted, because their slots would have gone to the waiting requests.
   */
  Duration expectedTimeToStart(int count, Urgency urgency, Duration now) {
    removeExpired(now);
    WaitingTimes times = waitingTimes.get(urgency);
    if (count == 0 || times == null) {
      return Duration.ZERO;
    }
    times.update(times.isWaiting, now);
    Duration oldest = now.minus(window);
    Duration observed = times.totalSince(oldest);
    if (observed.compareTo(MIN_OBSERVATION) < 0) {
      return Duration.ZERO;
    }
    long started =
        starts.stream()
            .filter(start -> start.urgency().compareTo(urgency) >= 0)
            .filter(start -> times.contains(start.at()))
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
