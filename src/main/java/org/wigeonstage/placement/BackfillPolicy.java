package org.wigeonstage.placement;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides which requests may start in slots that are reserved for more urgent ones (backfilling).
 *
 * <p>Needed under overload: requests of the middle ranks take every slot that they may use, and
 * those of the lowest rank would never start, although a slot remains free for urgent requests most
 * of the time. A request may use it if it is expected to leave the slot soon, compared to the time
 * within which urgent requests need their first part, and as long as its urgency is started less
 * often than every more urgent one.
 */
final class BackfillPolicy {

  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * The share of its requests that an urgency may have started, relative to the share of any more
   * urgent one. The margin covers the errors of shares measured at one gateway.
   */
  private static final double MAX_RELATIVE_SHARE = 0.75;

  /**
   * A slot is used for at most this part of the objective of the requests that it is kept for. With
   * a quarter, the larger requests of the least urgent rank could hardly start where objectives are
   * short: a tenth of them with 0.4 s, when three tenths of all were served.
   */
  private static final int OBJECTIVE_DIVISOR = 3;

  /** The weight of the newest expected duration in its mean. */
  private static final double SMOOTHING_FACTOR = 0.05;

  /** The time in which the weight of a request in the shares decreases to 1/e. */
  private static final Duration TIME_CONSTANT = Duration.ofSeconds(4);

  /** What is known of the requests of one urgency; the numbers are weighted by age. */
  private static final class History {
    private Duration shortestObjective = Duration.ZERO;
    private double meanDurationNanos;
    private double started;
    private double refused;

    /** Returns the share that was started, as if one request more was, so that it is never zero. */
    double startedShare() {
      return (started + 1) / (started + refused + 1);
    }
  }

  private final TreeMap<Urgency, History> histories = new TreeMap<>();

  private History history(PlacementRequest request) {
    return histories.computeIfAbsent(request.urgency(), key -> new History());
  }

  /**
   * Records the objective of a request, and how long it is expected to use a slot. Resumed ones
   * have another objective.
   */
  void recordSubmission(PlacementRequest request, Duration expectedDuration) {
    if (!request.wasPlacedBefore()) {
      History history = history(request);
      double nanos = expectedDuration.toNanos();
      history.meanDurationNanos +=
          (history.meanDurationNanos == 0 ? 1 : SMOOTHING_FACTOR)
              * (nanos - history.meanDurationNanos);
      Duration objective = request.firstPartObjective();
      history.shortestObjective =
          history.shortestObjective.isZero()
              ? objective
              : Comparators.min(history.shortestObjective, objective);
    }
  }

  /** Records a start; to be called before the request is marked as placed. */
  void recordStart(PlacementRequest request) {
    if (!request.wasPlacedBefore()) {
      history(request).started++;
    }
  }

  void recordRefusal(PlacementRequest request) {
    if (!request.wasPlacedBefore()) {
      history(request).refused++;
    }
  }

  void decay(Duration elapsed) {
    double retained = Math.exp(-seconds(elapsed) / seconds(TIME_CONSTANT));
    for (History history : histories.values()) {
      history.started *= retained;
      history.refused *= retained;
    }
  }

  private static double seconds(Duration duration) {
    return duration.toNanos() / NANOS_PER_SECOND;
  }

  /**
   * Returns how long a request may use a slot that is reserved for more urgent ones, or empty if it
   * may not, or none is known that slots are reserved for. A request that takes longer than is
   * usual for its urgency may use it longer by the same factor, up to the whole objective;
   * otherwise, the larger requests of a kind would be served far less often than the smaller ones.
   */
  Optional<Duration> maxDuration(PlacementRequest request, Duration expectedDuration) {
    History own = histories.get(request.urgency());
    double mean = own == null ? 0 : own.meanDurationNanos;
    double factor = mean == 0 ? 1 : expectedDuration.toNanos() / mean;
    double bounded = Math.max(1, Math.min(OBJECTIVE_DIVISOR, factor));
    return maxDuration(request.urgency())
        .map(duration -> Duration.ofNanos((long) (duration.toNanos() * bounded)));
  }

  /** Returns how long a request of usual size may use a reserved slot, or empty if it may not. */
  Optional<Duration> maxDuration(Urgency urgency) {
    History own = histories.get(urgency);
    double share = own == null ? 1 : own.startedShare();
    Optional<Duration> shortest = Optional.empty();
    for (Map.Entry<Urgency, History> entry : histories.headMap(urgency, false).entrySet()) {
      History moreUrgent = entry.getValue();
      if (share > MAX_RELATIVE_SHARE * moreUrgent.startedShare()) {
        return Optional.empty();
      }
      Duration objective = moreUrgent.shortestObjective;
      shortest = Optional.of(shortest.map(d -> Comparators.min(d, objective)).orElse(objective));
    }
    return shortest.map(objective -> objective.dividedBy(OBJECTIVE_DIVISOR));
  }
}
