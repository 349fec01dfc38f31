package org.wigeonstage.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Divides parts that are suspects in the same crashes into combinations, so that the parts of a
 * combination occurred together in a victim of each crash. A part joins the first combination that
 * allows it.
 */
final class PartCombinations {

  /** Parts that occurred together. */
  private static final class Combination {
    private final int position;
    private final Set<String> parts = new HashSet<>();

    /** The victims that had all the parts. */
    private List<Victim> victims;

    Combination(int position, List<Victim> victims) {
      this.position = position;
      this.victims = victims;
    }
  }

  private final List<Combination> combinations = new ArrayList<>();

  /** The combinations whose first part occurred in a victim of the index crash. */
  private final Map<Victim, List<Combination>> byVictim = new HashMap<>();

  /**
   * The crash in which the parts are spread over most victims, so that few combinations share one.
   */
  private final int indexCrash;

  private long steps;

  /**
   * Creates an object without combinations.
   *
   * @param occurrences for each part to be added, the victims in which it occurred, in their order
   */
  PartCombinations(Collection<List<Victim>> occurrences) {
    Map<Integer, Set<Integer>> victimsByCrash = new HashMap<>();
    for (List<Victim> victims : occurrences) {
      for (Victim victim : victims) {
        steps++;
        victimsByCrash.computeIfAbsent(victim.crash(), key -> new HashSet<>()).add(victim.number());
      }
    }
    indexCrash =
        victimsByCrash.entrySet().stream()
            .max(Comparator.comparingInt(entry -> entry.getValue().size()))
            .map(Map.Entry::getKey)
            .orElse(0);
  }

  /** Adds parts that occurred in the same victims. */
  void add(List<Victim> victims, Set<String> parts) {
    List<Victim> indexVictims =
        victims.stream().filter(victim -> victim.crash() == indexCrash).toList();
    TreeSet<Integer> positions = new TreeSet<>();
    for (Victim victim : indexVictims) {
      for (Combination combination : byVictim.getOrDefault(victim, List.of())) {
        steps++;
        positions.add(combination.position);
      }
    }
    for (int position : positions) {
      Combination combination = combinations.get(position);
      List<Victim> common = intersection(combination.victims, victims);
      if (crashesOf(common).size() == crashesOf(victims).size()) {
        combination.victims = common;
        combination.parts.addAll(parts);
        return;
      }
    }
    Combination combination = new Combination(combinations.size(), victims);
    combination.parts.addAll(parts);
    combinations.add(combination);
    for (Victim victim : indexVictims) {
      byVictim.computeIfAbsent(victim, key -> new ArrayList<>()).add(combination);
    }
  }

  private List<Victim> intersection(List<Victim> first, List<Victim> second) {
    steps += first.size() + second.size();
    List<Victim> common = new ArrayList<>();
    int i = 0;
    int j = 0;
    while (i < first.size() && j < second.size()) {
      int order = Integer.compare(first.get(i).number(), second.get(j).number());
      if (order == 0) {
        common.add(first.get(i));
      }
      i += order <= 0 ? 1 : 0;
      j += order >= 0 ? 1 : 0;
    }
    return common;
  }

  private static Set<Integer> crashesOf(List<Victim> victims) {
    return victims.stream().map(Victim::crash).collect(Collectors.toSet());
  }

  /** Returns the parts of each combination. */
  List<Set<String>> all() {
    return combinations.stream().map(combination -> combination.parts).toList();
  }

  /** Returns how many times a victim or a combination was looked at. */
  long steps() {
    return steps;
  }
}
