package org.wigeonstage.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.IntFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which parts are held, and the work of finding them where prompts share many parts. */
class HoldFinderTest {

  private static final String POOL = "engines";
  private static final int SEEDS = 2000;

  /** How often a search may look at each part of the evidence. */
  private static final int MAX_STEPS_PER_PART = 8;

  private final SuspectCounts suspectCounts = new SuspectCounts();
  private final List<ServerCrash> crashes = new ArrayList<>();

  private ServerCrash addCrash(Duration at) {
    ServerCrash crash = new ServerCrash("run-" + crashes.size(), POOL, at, suspectCounts);
    crashes.add(crash);
    return crash;
  }

  private void clearCrashes() {
    crashes.forEach(ServerCrash::removeSuspects);
    crashes.clear();
  }

  private void addRandomCrashes(Random random) {
    int crashCount = 3 + random.nextInt(6);
    for (int i = 0; i < crashCount; i++) {
      ServerCrash crash = addCrash(Duration.ofMillis(random.nextInt(600)));
      int victimCount = 1 + random.nextInt(4);
      for (int victim = 0; victim < victimCount; victim++) {
        crash.addVictim(randomParts(random), false);
      }
      randomParts(random).stream().limit(2).forEach(crash::clear);
      if (random.nextInt(10) == 0) {
        crash.refute();
      }
    }
  }

  private static List<String> randomParts(Random random) {
    List<String> parts = new ArrayList<>();
    for (char part = 'a'; part <= 'h'; part++) {
      if (random.nextInt(3) == 0) {
        parts.add(String.valueOf(part));
      }
    }
    return parts;
  }

  @Test
  void findsWhatADirectSearchFinds() {
    for (int seed = 0; seed < SEEDS; seed++) {
      clearCrashes();
      addRandomCrashes(new Random(seed));
      List<Set<String>> found =
          HoldFinder.find(crashes, suspectCounts).holds().stream().map(PartHold::parts).toList();
      assertThat(found).as("holds with seed %s", seed).isEqualTo(DirectSearch.find(crashes));
    }
  }

  @Test
  void countsOnlyTheSuspectsOfCrashesThatAreRemembered() {
    for (int seed = 0; seed < SEEDS; seed++) {
      clearCrashes();
      addRandomCrashes(new Random(seed));
      for (char part = 'a'; part <= 'h'; part++) {
        String name = String.valueOf(part);
        long expected = crashes.stream().filter(crash -> crash.suspects().contains(name)).count();
        assertThat(suspectCounts.count(name)).isEqualTo((int) expected);
      }
    }
  }

  private static List<String> parts(String name, int count) {
    return IntStream.range(0, count).mapToObj(i -> name + i).toList();
  }

  /** Adds as many crashes as are remembered, each with as many parts as are. */
  private void addCrashes(int victimsPerCrash, IntFunction<List<String>> victimParts) {
    for (int i = 0; i < CrashEvidence.MAX_CRASHES; i++) {
      ServerCrash crash = addCrash(Duration.ofMillis(150L * i));
      for (int victim = 0; victim < victimsPerCrash; victim++) {
        crash.addVictim(victimParts.apply(i * victimsPerCrash + victim), false);
      }
    }
  }

  private void assertWorkIsLinear() {
    HoldSearch search = HoldFinder.find(crashes, suspectCounts);
    long partCount = (long) CrashEvidence.MAX_CRASHES * ServerCrash.MAX_PARTS;
    assertThat(search.steps()).isLessThanOrEqualTo(MAX_STEPS_PER_PART * partCount);
    Set<String> heldParts = new HashSet<>();
    search.holds().forEach(hold -> assertThat(hold.parts()).allMatch(heldParts::add));
  }

  @ParameterizedTest
  @ValueSource(ints = {20, 300, 1200, 2000})
  void workIsLinearWherePromptsShareADocument(int partCount) {
    List<String> document = parts("document", partCount);
    addCrashes(2, i -> document);
    assertWorkIsLinear();
    assertThat(HoldFinder.find(crashes, suspectCounts).holds()).hasSize(1);
  }

  @Test
  void workIsLinearWherePromptsShareSeveralDocuments() {
    addCrashes(4, i -> parts("document" + i % 5 + "-", 500));
    assertWorkIsLinear();
  }

  @Test
  void workIsLinearWherePromptsShareTheBeginningsOfADocument() {
    Random random = new Random(1);
    addCrashes(3, i -> parts("document", 200 + random.nextInt(1800)));
    assertWorkIsLinear();
  }

  @Test
  void workIsLinearWherePromptsHaveRandomHalvesOfADocument() {
    Random random = new Random(1);
    List<String> document = parts("document", 2000);
    addCrashes(2, i -> document.stream().filter(part -> random.nextBoolean()).toList());
    assertWorkIsLinear();
  }

  @Test
  void workIsLinearWhereEachPartIsOfARequestOfItsOwn() {
    addCrashes(ServerCrash.MAX_PARTS, i -> List.of("part" + i % ServerCrash.MAX_PARTS));
    assertWorkIsLinear();
    assertThat(HoldFinder.find(crashes, suspectCounts).holds()).hasSize(ServerCrash.MAX_PARTS);
  }

  /** Applies the definition of a hold without regard to the work that it takes. */
  private static final class DirectSearch {

    static List<Set<String>> find(Collection<ServerCrash> crashes) {
      Map<Set<ServerCrash>, Set<String>> partsByCrashes = new LinkedHashMap<>();
      Set<String> suspects = new TreeSet<>();
      crashes.forEach(crash -> suspects.addAll(crash.suspects()));
      for (String part : suspects) {
        Set<ServerCrash> explained =
            crashes.stream()
                .filter(crash -> crash.suspects().contains(part))
                .collect(Collectors.toSet());
        partsByCrashes.computeIfAbsent(explained, key -> new TreeSet<>()).add(part);
      }
      List<Set<ServerCrash>> explanations = new ArrayList<>(partsByCrashes.keySet());
      explanations.removeIf(set -> countOccasions(set) < HoldFinder.MIN_OCCASIONS);
      explanations.sort(
          Comparator.comparingInt((Set<ServerCrash> set) -> -countOccasions(set))
              .thenComparingInt(set -> -set.size()));
      List<Set<String>> holds = new ArrayList<>();
      Set<ServerCrash> explained = new HashSet<>();
      for (Set<ServerCrash> explanation : explanations) {
        if (explained.addAll(explanation)) {
          holds.addAll(divide(partsByCrashes.get(explanation), explanation));
        }
      }
      return holds;
    }

    private static int countOccasions(Set<ServerCrash> crashes) {
      Map<Duration, Boolean> occasions = new TreeMap<>();
      Duration simultaneousUntil = Duration.ofMillis(-1);
      for (Duration at : crashes.stream().map(ServerCrash::at).sorted().toList()) {
        if (at.compareTo(simultaneousUntil) > 0) {
          occasions.put(at, true);
          simultaneousUntil = at.plus(HoldFinder.SIMULTANEITY);
        }
      }
      return occasions.size();
    }

    private static List<Set<String>> divide(Set<String> parts, Set<ServerCrash> crashes) {
      Set<String> candidates = new TreeSet<>(parts);
      List<Set<String>> divided = new ArrayList<>();
      while (!candidates.isEmpty()) {
        Set<String> together = new TreeSet<>();
        for (String candidate : candidates) {
          together.add(candidate);
          if (!crashes.stream().allMatch(crash -> hasVictimWithAll(crash, together))) {
            together.remove(candidate);
          }
        }
        divided.add(together);
        candidates.removeAll(together);
      }
      return divided;
    }

    private static boolean hasVictimWithAll(ServerCrash crash, Set<String> parts) {
      return crash.victims().stream().anyMatch(victim -> victim.containsAll(parts));
    }
  }
}
