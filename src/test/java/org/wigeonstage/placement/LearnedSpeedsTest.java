package org.wigeonstage.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.wigeonstage.placement.SimulatedPool.Kind;

/**
 * Guards against limits that do not follow the speed of servers, and against limits that empty a
 * pool. Several gateways learn from a few responses each, and tell each other.
 */
class LearnedSpeedsTest {

  private static final int GATEWAYS = 8;
  private static final int ENGINES = 10;
  private static final int SLOTS = 9;
  private static final long WARM_UP_MILLIS = 6000;
  private static final long COUNTED_UNTIL_MILLIS = 24_000;

  /** By then, the requests that are counted have ended. */
  private static final long END_MILLIS = 30_000;

  private static final SchedulingLimits LIMITS =
      SchedulingLimits.DEFAULTS.withLearnedServerLimits(true);

  /** About three fifths of what the engines can do. */
  private static final List<Kind> KINDS =
      List.of(
          new Kind(0, 20, 6670, 38, 619, 500, 2476, 10_324),
          new Kind(1, 60, 688, 29, 408, 350, 2000, 10_199),
          new Kind(2, 40, 1860, 4, 410, 350, 2000, 5000));

  private final Map<Long, List<List<Integer>>> limitsAt = new TreeMap<>();

  private static SimulatedPool pool(long seed) {
    return new SimulatedPool(
        GATEWAYS, ENGINES, SLOTS, List.of(1.0), WARM_UP_MILLIS, COUNTED_UNTIL_MILLIS, seed, LIMITS);
  }

  /** Records the limits at all gateways at a time. */
  private void observe(SimulatedPool pool, long atMillis) {
    pool.at(
        atMillis,
        () -> {
          List<List<Integer>> limits = new ArrayList<>();
          for (int i = 0; i < GATEWAYS; i++) {
            limits.add(pool.limits(i));
          }
          limitsAt.put(atMillis, limits);
        });
  }

  /** Returns the median over the gateways of the limit of an engine. */
  private int medianLimit(long atMillis, int engine) {
    List<Integer> limits = new ArrayList<>();
    limitsAt.get(atMillis).forEach(atGateway -> limits.add(atGateway.get(engine)));
    Collections.sort(limits);
    return limits.get(limits.size() / 2);
  }

  private int sumOfLimits(long atMillis) {
    int sum = 0;
    for (int i = 0; i < ENGINES; i++) {
      sum += medianLimit(atMillis, i);
    }
    return sum;
  }

  @Test
  void oneOfTenServersAtThirdOfSpeedIsLimitedWithinTwoSecondsAndRecoversWithinFive() {
    SimulatedPool pool = pool(1);
    pool.at(10_000, () -> pool.engine(0).setSlowness(3));
    pool.at(18_000, () -> pool.engine(0).setSlowness(1));
    observe(pool, 9_900);
    observe(pool, 12_000);
    observe(pool, 17_900);
    observe(pool, 23_000);
    pool.play(KINDS, List.of(), END_MILLIS);
    assertThat(medianLimit(9_900, 0)).isEqualTo(SLOTS);
    assertThat(medianLimit(12_000, 0)).isLessThan(SLOTS);
    assertThat(medianLimit(17_900, 0)).isBetween(3, 6);
    assertThat(medianLimit(23_000, 0)).isGreaterThanOrEqualTo(SLOTS - 1);
    for (int engine = 1; engine < ENGINES; engine++) {
      assertThat(medianLimit(17_900, engine)).isGreaterThanOrEqualTo(SLOTS - 1);
    }
  }

  @Test
  void poolKeepsItsLimitsWhenAllServersSlowDownAtOnce() {
    SimulatedPool pool = pool(2);
    pool.at(10_000, () -> forEachEngine(pool, engine -> engine.setSlowness(2)));
    for (long at = 10_500; at < 16_000; at += 500) {
      observe(pool, at);
    }
    pool.play(KINDS, List.of(), END_MILLIS);
    limitsAt.keySet().forEach(at -> assertThat(sumOfLimits(at)).isGreaterThan(80));
  }

  private static void forEachEngine(SimulatedPool pool, Consumer<SimulatedEngine> action) {
    for (int i = 0; i < ENGINES; i++) {
      action.accept(pool.engine(i));
    }
  }

  @Test
  void serverThatSlowsLongBeforeItIsFullIsLimitedNearThatLevel() {
    SimulatedPool pool = pool(3);
    pool.engine(0).slowDownAbove(4, 3);
    for (long at = 10_000; at < END_MILLIS; at += 500) {
      observe(pool, at);
    }
    pool.play(scaled(1.25), List.of(), END_MILLIS);
    List<Integer> limits = new ArrayList<>();
    limitsAt.keySet().forEach(at -> limits.add(medianLimit(at, 0)));
    assertThat(limits.stream().mapToInt(limit -> limit).average().orElseThrow())
        .as("average of %s", limits)
        .isBetween(3.0, 7.0);
  }

  private static List<Kind> scaled(double factor) {
    return KINDS.stream()
        .map(
            kind ->
                new Kind(
                    kind.rank(),
                    kind.perSecond() * factor,
                    kind.promptTokens(),
                    kind.events(),
                    kind.objectiveMillis(),
                    kind.maxSlotWaitMillis(),
                    kind.patienceMillis(),
                    kind.timeLimitMillis()))
        .toList();
  }

  @Test
  void limitsFollowServersThatTakeTurnsInBeingSlow() {
    SimulatedPool pool = pool(4);
    for (int i = 0; i < 4; i++) {
      int engine = i;
      long from = 8_000 + 5_000L * i;
      pool.at(from, () -> pool.engine(engine).setSlowness(4));
      pool.at(from + 5_000, () -> pool.engine(engine).setSlowness(1));
      observe(pool, from + 4_900);
    }
    pool.play(KINDS, List.of(), END_MILLIS);
    for (int i = 0; i < 4; i++) {
      long at = 12_900 + 5_000L * i;
      assertThat(medianLimit(at, i)).as("slow engine %d", i).isLessThanOrEqualTo(6);
      assertThat(sumOfLimits(at)).as("other engines").isGreaterThan(72);
    }
  }

  @Test
  void reportsAboutCalmPoolAreRare() {
    SimulatedPool pool = pool(5);
    pool.play(KINDS, List.of(), END_MILLIS);
    double perGatewayAndSecond = pool.speedReports() / (GATEWAYS * END_MILLIS / 1000.0);
    assertThat(perGatewayAndSecond).isLessThan(0.5);
  }

  @Test
  void servesAsMuchAsWithAssumedSpeedsOnEnginesThatTheyDescribe() {
    SimulatedPool learned = pool(6);
    SimulatedPool assumed =
        new SimulatedPool(
            GATEWAYS, ENGINES, SLOTS, List.of(1.0), WARM_UP_MILLIS, COUNTED_UNTIL_MILLIS, 6);
    Map<Integer, Tally> withLearned = learned.play(KINDS, List.of(), END_MILLIS);
    Map<Integer, Tally> withAssumed = assumed.play(KINDS, List.of(), END_MILLIS);
    withLearned.forEach(
        (rank, tally) ->
            assertThat(tally.servedShare())
                .as("rank %d: %s instead of %s", rank, tally, withAssumed.get(rank))
                .isGreaterThan(withAssumed.get(rank).servedShare() - 0.02));
  }
}
