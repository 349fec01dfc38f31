package org.wigeonstage.crash;

import java.util.HashMap;
import java.util.Map;

/** Counts the crashes in which each part is a suspect. */
final class SuspectCounts {

  private final Map<String, Integer> counts = new HashMap<>();

  void increment(String part) {
    counts.merge(part, 1, Integer::sum);
  }

  void decrement(String part) {
    counts.computeIfPresent(part, (key, count) -> count > 1 ? count - 1 : null);
  }

  int count(String part) {
    return counts.getOrDefault(part, 0);
  }
}
