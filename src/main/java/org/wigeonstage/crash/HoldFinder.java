package org.wigeonstage.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Finds few parts that explain the crashes. As in the greedy solution of the set cover problem, the
 * parts that explain most crashes come first, and others are held only if they explain a further
 * one.
 *
 * <p>Parts that are suspects in the same crashes form a group, and the set of these crashes is a
 * bit mask, so that the work grows with the number of parts and not with that of their
 * combinations.
 */
final class HoldFinder {

  /** A part is held only if it explains this many crashes that were not simultaneous. */
  static final int MIN_OCCASIONS = 3;

  /**
   * Crashes within this time count once, because they may have one cause outside of the requests:
   * the loss of a host or of a failure domain.
   */
  static final Duration SIMULTANEITY = Duration.ofMillis(50);

  /** The parts that are suspects in the same crashes. */
  private static final class Group {
    private final long crashes;
    private final int occasions;
    private final TreeSet<String> parts = new TreeSet<>();

    Group(long crashes, int occasions) {
      this.crashes = crashes;
      this.occasions = occasions;
    }
  }

  /** The crashes in order of time; the position of each is its bit in the masks. */
  private final List<ServerCrash> crashes;

  private final SuspectCounts suspectCounts;
  private final Map<String, Long> crashesByPart = new HashMap<>();
  private final Map<String, List<Victim>> victimsByPart = new HashMap<>();
  private long steps;

  private HoldFinder(Collection<ServerCrash> crashes, SuspectCounts suspectCounts) {
    this.crashes = crashes.stream().sorted(Comparator.comparing(ServerCrash::at)).toList();
    this.suspectCounts = suspectCounts;
  }

  /**
   * Finds the parts to hold.
   *
   * @param crashes the crashes, at most {@link CrashEvidence#MAX_CRASHES}
   * @param suspectCounts the counts of their suspects
   */
  static HoldSearch find(Collection<ServerCrash> crashes, SuspectCounts suspectCounts) {
    return new HoldFinder(crashes, suspectCounts).search();
  }

  private HoldSearch search() {
    collectRecurringParts();
    List<Group> chosen = chooseGroups(groupsByCrashes());
    collectVictims(chosen);
    List<PartHold> holds = new ArrayList<>();
    List<PartHold> explanations = new ArrayList<>();
    for (Group group : chosen) {
      List<PartHold> holdsOfGroup = holdsOf(group);
      explanations.add(holdsOfGroup.get(0));
      holds.addAll(holdsOfGroup);
    }
    return new HoldSearch(holds, explanations, steps);
  }

  private void collectRecurringParts() {
    for (int i = 0; i < crashes.size(); i++) {
      long bit = 1L << i;
      for (String part : crashes.get(i).suspects()) {
        steps++;
        if (suspectCounts.count(part) >= MIN_OCCASIONS) {
          crashesByPart.merge(part, bit, (before, added) -> before | added);
        }
      }
    }
  }

  private Collection<Group> groupsByCrashes() {
    Map<Long, Group> groups = new HashMap<>();
    crashesByPart.forEach(
        (part, mask) ->
            groups
                .computeIfAbsent(mask, key -> new Group(key, countOccasions(key)))
                .parts
                .add(part));
    return groups.values();
  }

  private int countOccasions(long mask) {
    int occasions = 0;
    Duration simultaneousUntil = null;
    for (long rest = mask; rest != 0; rest &= rest - 1) {
      steps++;
      Duration time = crashes.get(Long.numberOfTrailingZeros(rest)).at();
      if (simultaneousUntil == null || time.compareTo(simultaneousUntil) > 0) {
        occasions++;
        simultaneousUntil = time.plus(SIMULTANEITY);
      }
    }
    return occasions;
  }

  /** Returns the groups that explain most crashes, each of which explains a further one. */
  private static List<Group> chooseGroups(Collection<Group> groups) {
    List<Group> candidates =
        groups.stream()
            .filter(group -> group.occasions >= MIN_OCCASIONS)
            .sorted(
                Comparator.comparingInt((Group group) -> -group.occasions)
                    .thenComparingInt(group -> -Long.bitCount(group.crashes))
                    .thenComparing(group -> group.parts.first()))
            .toList();
    List<Group> chosen = new ArrayList<>();
    long explained = 0;
    for (Group group : candidates) {
      if ((group.crashes & ~explained) != 0) {
        explained |= group.crashes;
        chosen.add(group);
      }
    }
    return chosen;
  }

  /** Collects the victims in which the parts of the chosen groups occurred as suspects. */
  private void collectVictims(List<Group> chosen) {
    chosen.forEach(
        group -> group.parts.forEach(part -> victimsByPart.put(part, new ArrayList<>())));
    if (chosen.isEmpty()) {
      return;
    }
    int number = 0;
    for (int i = 0; i < crashes.size(); i++) {
      for (List<String> parts : crashes.get(i).victims()) {
        Victim victim = new Victim(number++, i);
        for (String part : parts) {
          steps++;
          List<Victim> victims = victimsByPart.get(part);
          if (victims != null && (crashesByPart.getOrDefault(part, 0L) >>> i & 1) == 1) {
            victims.add(victim);
          }
        }
      }
    }
  }

  /** Returns a hold for each set of parts that occurred together in all the crashes. */
  private List<PartHold> holdsOf(Group group) {
    Map<List<Victim>, Set<String>> partsByVictims =
        group.parts.stream()
            .collect(
                Collectors.groupingBy(
                    part -> victimsByPart.getOrDefault(part, List.of()),
                    LinkedHashMap::new,
                    Collectors.toCollection(TreeSet::new)));
    PartCombinations combinations = new PartCombinations(partsByVictims.keySet());
    partsByVictims.forEach(combinations::add);
    steps += combinations.steps();
    List<ServerCrash> explained = new ArrayList<>();
    for (long rest = group.crashes; rest != 0; rest &= rest - 1) {
      explained.add(crashes.get(Long.numberOfTrailingZeros(rest)));
    }
    Set<String> pools =
        explained.stream().map(ServerCrash::pool).collect(Collectors.toUnmodifiableSet());
    Set<String> ids =
        explained.stream().map(ServerCrash::id).collect(Collectors.toUnmodifiableSet());
    Duration lastAt = explained.get(explained.size() - 1).at();
    int failedTrials = (int) explained.stream().filter(ServerCrash::isTrial).count();
    return combinations.all().stream()
        .map(parts -> new PartHold(parts, pools, ids, group.occasions, lastAt, failedTrials))
        .toList();
  }
}
