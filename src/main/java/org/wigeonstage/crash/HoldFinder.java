package org.wigeonstage.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Finds few parts that explain the crashes. As in the greedy solution of the set cover problem, the
 * parts that explain most crashes come first, and others are held only if they explain a further
 * one.
 */
final class HoldFinder {

  /** A part is held only if it explains this many crashes that were not simultaneous. */
  static final int MIN_OCCASIONS = 3;

  /**
   * Crashes within this time count once, because they may have one cause outside of the requests:
   * the loss of a host or of a failure domain.
   */
  static final Duration SIMULTANEITY = Duration.ofMillis(50);

  /** The crashes that some parts may explain. */
  private record Explanation(Set<ServerCrash> crashes, int occasions) {}

  private HoldFinder() {}

  static List<PartHold> find(Collection<ServerCrash> crashes) {
    Map<Set<ServerCrash>, Set<String>> partsByCrashes = partsByCrashes(crashes);
    List<Explanation> explanations =
        partsByCrashes.keySet().stream()
            .map(set -> new Explanation(set, countOccasions(set)))
            .filter(explanation -> explanation.occasions() >= MIN_OCCASIONS)
            .sorted(
                Comparator.comparingInt((Explanation e) -> -e.occasions())
                    .thenComparingInt(e -> -e.crashes().size()))
            .toList();
    List<PartHold> holds = new ArrayList<>();
    Set<ServerCrash> explained = new HashSet<>();
    for (Explanation explanation : explanations) {
      if (explained.addAll(explanation.crashes())) {
        Set<String> parts = partsByCrashes.getOrDefault(explanation.crashes(), Set.of());
        holds.addAll(holdsOf(parts, explanation));
      }
    }
    return holds;
  }

  /** Returns the recurring parts by the crashes in which they are suspects. */
  private static Map<Set<ServerCrash>, Set<String>> partsByCrashes(
      Collection<ServerCrash> crashes) {
    Map<String, Integer> counts = new HashMap<>();
    crashes.forEach(crash -> crash.suspects().forEach(part -> counts.merge(part, 1, Integer::sum)));
    Map<Set<ServerCrash>, Set<String>> partsByCrashes = new LinkedHashMap<>();
    new TreeMap<>(counts)
        .forEach(
            (part, count) -> {
              if (count >= MIN_OCCASIONS) {
                partsByCrashes
                    .computeIfAbsent(crashesOf(part, crashes), key -> new TreeSet<>())
                    .add(part);
              }
            });
    return partsByCrashes;
  }

  private static Set<ServerCrash> crashesOf(String part, Collection<ServerCrash> crashes) {
    return crashes.stream()
        .filter(crash -> crash.suspects().contains(part))
        .collect(Collectors.toSet());
  }

  /** Returns a hold for each set of parts that occurred together in all the crashes. */
  private static List<PartHold> holdsOf(Set<String> parts, Explanation explanation) {
    Set<String> candidates = new TreeSet<>(parts);
    List<PartHold> holds = new ArrayList<>();
    while (!candidates.isEmpty()) {
      Set<String> together = new TreeSet<>();
      for (String candidate : candidates) {
        together.add(candidate);
        if (!explanation.crashes().stream().allMatch(crash -> crash.hasSuspects(together))) {
          together.remove(candidate);
        }
      }
      holds.add(holdOf(together, explanation));
      candidates.removeAll(together);
    }
    return holds;
  }

  private static PartHold holdOf(Set<String> parts, Explanation explanation) {
    Set<ServerCrash> crashes = explanation.crashes();
    return new PartHold(
        parts,
        crashes.stream().map(ServerCrash::pool).collect(Collectors.toSet()),
        crashes.stream().map(ServerCrash::id).collect(Collectors.toSet()),
        explanation.occasions(),
        crashes.stream().map(ServerCrash::at).max(Comparator.naturalOrder()).orElseThrow(),
        (int) crashes.stream().filter(ServerCrash::isTrial).count());
  }

  private static int countOccasions(Set<ServerCrash> crashes) {
    List<Duration> times = crashes.stream().map(ServerCrash::at).sorted().toList();
    int occasions = 0;
    Duration simultaneousUntil = null;
    for (Duration time : times) {
      if (simultaneousUntil == null || time.compareTo(simultaneousUntil) > 0) {
        occasions++;
        simultaneousUntil = time.plus(SIMULTANEITY);
      }
    }
    return occasions;
  }
}
