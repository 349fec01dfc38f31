package org.wigeonstage.rollout;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;

/**
 * Returns the responses of the last one to two intervals, from counts that only grow.
 *
 * <p>Not thread-safe.
 */
final class RecentCounts {

  private final Duration interval;
  private Map<CountsKey, ResponseCounts> earlier = Map.of();
  private Map<CountsKey, ResponseCounts> later = Map.of();
  private Duration laterAt;

  RecentCounts(Duration interval, Duration startedAt) {
    this.interval = interval;
    this.laterAt = startedAt;
  }

  /** Returns what has been added to the counts recently. */
  Collection<ResponseCounts> update(Map<CountsKey, ResponseCounts> counts, Duration now) {
    if (now.minus(laterAt).compareTo(interval) >= 0) {
      earlier = later;
      later = Map.copyOf(counts);
      laterAt = now;
    }
    if (earlier.isEmpty()) {
      return counts.values();
    }
    return counts.entrySet().stream()
        .map(
            entry -> {
              ResponseCounts before = earlier.get(entry.getKey());
              return before == null ? entry.getValue() : entry.getValue().minus(before);
            })
        .toList();
  }
}
