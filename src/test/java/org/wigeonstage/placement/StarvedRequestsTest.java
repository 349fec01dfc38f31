package org.wigeonstage.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.wigeonstage.placement.SimulatedPool.Burst;
import org.wigeonstage.placement.SimulatedPool.Kind;

/**
 * Guards against refusing nearly all requests of the lowest rank while the middle ranks take every
 * slot that they may use, at several sizes and mixes.
 */
class StarvedRequestsTest {

  private static final List<Double> THREE_SPEEDS = List.of(0.55, 1.0, 2.8);
  private static final List<Double> ONE_SPEED = List.of(1.0);
  private static final long WARM_UP_MILLIS = 2000;
  private static final long COUNTED_UNTIL_MILLIS = 22_000;

  /** By then, the requests that are counted have ended. */
  private static final long END_MILLIS = 32_000;

  /** A kind must be served at least this often, relative to all requests. */
  private static final double MIN_RELATIVE_SHARE = 0.25;

  /** A kind may be served this much more often than a more urgent one. */
  private static final double MAX_PRECEDENCE = 0.05;

  private static Kind audits(double perSecond) {
    return new Kind(0, perSecond, 6610, 76, 610, 2140, 2440, 12_000);
  }

  private static Kind orders(double perSecond) {
    return new Kind(1, perSecond, 628, 58, 604, 604, 2416, 10_000);
  }

  private static Kind tags(int rank, double perSecond) {
    return new Kind(rank, perSecond, 1800, 5, 1205, 1205, 2510, 2510);
  }

  private enum Load {
    LARGE_FLEET(33, 31, THREE_SPEEDS, List.of(audits(89), orders(82), tags(2, 195))),
    LARGE_FLEET_AFTER_CRASHES(33, 27, THREE_SPEEDS, List.of(audits(89), orders(82), tags(2, 195))),
    ENGINES_OF_ONE_SPEED(33, 31, ONE_SPEED, List.of(audits(89), orders(82), tags(2, 195))),
    FOUR_GATEWAYS(4, 7, THREE_SPEEDS, List.of(audits(22), orders(20), tags(2, 49))),
    MANY_ORDERS(33, 42, THREE_SPEEDS, List.of(audits(89), orders(205), tags(2, 195))),
    PROMPTS_TEN_TIMES_LONGER(
        33,
        36,
        THREE_SPEEDS,
        List.of(
            new Kind(0, 18, 66_100, 76, 1500, 3000, 30_000, 30_000), orders(120), tags(2, 195))),
    FIVE_RANKS(
        33,
        30,
        THREE_SPEEDS,
        List.of(audits(89), orders(82), tags(2, 60), tags(3, 60), tags(4, 60))),
    BURSTS(
        33,
        38,
        THREE_SPEEDS,
        List.of(audits(89), orders(82), tags(2, 195)),
        new Burst(0, 1.7, 900, 5900),
        new Burst(1, 1.7, 900, 5900),
        new Burst(2, 1.7, 900, 5900),
        new Burst(1, 2.5, 6400, 16_400),
        new Burst(2, 1.4, 9100, 13_600),
        new Burst(0, 2.0, 10_900, 13_400),
        new Burst(1, 2.0, 10_900, 13_400),
        new Burst(2, 2.0, 10_900, 13_400));

    private final int gateways;
    private final int engines;
    private final List<Double> slowness;
    private final List<Kind> kinds;
    private final List<Burst> bursts;

    Load(int gateways, int engines, List<Double> slowness, List<Kind> kinds, Burst... bursts) {
      this.gateways = gateways;
      this.engines = engines;
      this.slowness = slowness;
      this.kinds = kinds;
      this.bursts = List.of(bursts);
    }

    Map<Integer, Tally> play(long seed, boolean learnsServerLimits) {
      return new SimulatedPool(
              gateways,
              engines,
              8,
              slowness,
              WARM_UP_MILLIS,
              COUNTED_UNTIL_MILLIS,
              seed,
              SchedulingLimits.DEFAULTS.withLearnedServerLimits(learnsServerLimits))
          .play(kinds, bursts, END_MILLIS);
    }
  }

  private static Stream<Arguments> loadsWithAssumedAndLearnedSpeeds() {
    return Arrays.stream(Load.values())
        .flatMap(load -> Stream.of(Arguments.of(load, false), Arguments.of(load, true)));
  }

  @ParameterizedTest
  @MethodSource("loadsWithAssumedAndLearnedSpeeds")
  void eachRankIsServedAtLeastAQuarterAsOftenAsAll(Load load, boolean learnsServerLimits) {
    Map<Integer, Tally> tallies = load.play(1, learnsServerLimits);
    int asked = tallies.values().stream().mapToInt(Tally::asked).sum();
    int served = tallies.values().stream().mapToInt(Tally::served).sum();
    double servedOfAll = (double) served / asked;
    assertThat(tallies.values())
        .allSatisfy(
            tally ->
                assertThat(tally.servedShare())
                    .as("served of %s; of all %.2f", tallies, servedOfAll)
                    .isGreaterThan(MIN_RELATIVE_SHARE * servedOfAll));
  }

  @ParameterizedTest
  @MethodSource("loadsWithAssumedAndLearnedSpeeds")
  void noRankIsServedMoreOftenThanMoreUrgentOnes(Load load, boolean learnsServerLimits) {
    Map<Integer, Tally> tallies = load.play(2, learnsServerLimits);
    double lowestShare = 1;
    for (Tally tally : tallies.values()) {
      assertThat(tally.servedShare())
          .as("served of %s", tallies)
          .isLessThan(lowestShare + MAX_PRECEDENCE);
      lowestShare = Math.min(lowestShare, tally.servedShare());
    }
  }
}
