package org.wigeonstage.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonstage.rollout.SimulatedRollout.Behaviour;
import org.wigeonstage.rollout.SimulatedRollout.Response;

/** Tests roll-outs over several gateways in virtual time. */
class RolloutDeciderTest {

  private static final Duration ORDER_TIME = Duration.ofSeconds(12);
  private static final Duration USUAL = Duration.ofMillis(300);

  /** Responses of all versions take 150 to 450 ms, and one of 200 fails. */
  private static final Behaviour SOUND =
      (server, route, running, now, random) ->
          new Response(random.nextInt(200) == 0, Duration.ofMillis(150 + random.nextInt(300)));

  private static Behaviour failing(double share, Duration from, String onlyRoute) {
    return (server, route, running, now, random) -> {
      boolean isAffected =
          server.version().equals("v2")
              && now.compareTo(from) >= 0
              && (onlyRoute.isEmpty() || route.equals(onlyRoute));
      return isAffected && random.nextDouble() < share
          ? new Response(true, Duration.ofMillis(50))
          : SOUND.respond(server, route, running, now, random);
    };
  }

  private static Behaviour slow(double share, int factor) {
    return (server, route, running, now, random) -> {
      Response usual = SOUND.respond(server, route, running, now, random);
      boolean isSlow = server.version().equals("v2") && random.nextDouble() < share;
      return isSlow ? new Response(false, usual.duration().multipliedBy(factor)) : usual;
    };
  }

  private static SimulatedRollout ordered(long seed, Behaviour behaviour) {
    SimulatedRollout rollout = new SimulatedRollout(seed, 24, 30, behaviour);
    rollout.order("v2", ORDER_TIME);
    return rollout;
  }

  private static void assertRolledBackWithinLimits(SimulatedRollout rollout) {
    assertThat(rollout.written).last().isEqualTo(RolloutState.ROLLED_BACK);
    assertThat((double) rollout.sentToTarget).isLessThanOrEqualTo(rollout.maxSentToFaulty());
    if (rollout.badAt.size() >= 50) {
      assertThat(rollout.lastSentToTarget)
          .isLessThanOrEqualTo(rollout.badAt.get(49).plus(Duration.ofSeconds(5)));
    }
  }

  private static void assertCompletedInTime(SimulatedRollout rollout) {
    assertThat(rollout.written).containsExactly(RolloutState.ACTIVE, RolloutState.COMPLETED);
    assertThat(rollout.endedAt.minus(rollout.orderedAt)).isLessThanOrEqualTo(ORDER_TIME);
    assertThat(rollout.runningAtOthersAtCompletion).isZero();
    assertThat(rollout.unplaced).isZero();
  }

  /** Guards against a sound version that is taken for faulty by chance, or completed late. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void completesSoundVersionInTime(long seed) {
    SimulatedRollout rollout = ordered(seed, SOUND);
    rollout.runFor(ORDER_TIME);
    assertCompletedInTime(rollout);
  }

  /** Guards against orders for pools with few requests, which give little evidence. */
  @Test
  void completesSoundVersionOfPoolWithFewRequests() {
    SimulatedRollout rollout = new SimulatedRollout(1, 12, 4, SOUND);
    rollout.requestsPerSecond = 60;
    rollout.order("v2", ORDER_TIME);
    rollout.runFor(ORDER_TIME);
    assertCompletedInTime(rollout);
  }

  /** Guards against a version that fails at once, on one route, or only after some seconds. */
  @ParameterizedTest
  @CsvSource({
    "1.0, 0, ''",
    "0.5, 0, ''",
    "0.2, 0, ''",
    "0.2, 0, large",
    "0.4, 0, small",
    "0.3, 3000, ''",
    "0.5, 5000, ''"
  })
  void rollsBackFailingVersion(double share, long fromMillis, String route) {
    for (int seed = 1; seed <= 4; seed++) {
      SimulatedRollout rollout =
          ordered(seed, failing(share, Duration.ofMillis(fromMillis), route));
      rollout.runFor(ORDER_TIME);
      assertRolledBackWithinLimits(rollout);
    }
  }

  /** Guards against a version that only takes longer, which no status shows. */
  @ParameterizedTest
  @CsvSource({"1.0, 4", "0.4, 4", "0.25, 5", "0.3, 3"})
  void rollsBackSlowVersion(double share, int factor) {
    for (int seed = 1; seed <= 4; seed++) {
      SimulatedRollout rollout = ordered(seed, slow(share, factor));
      rollout.runFor(ORDER_TIME);
      assertRolledBackWithinLimits(rollout);
    }
  }

  /** Guards against new servers whose slow start is taken for a fault of their version. */
  @Test
  void completesSoundVersionWhoseServersStartSlowly() {
    SimulatedRollout rollout =
        ordered(
            1,
            (server, route, running, now, random) -> {
              Response usual = SOUND.respond(server, route, running, now, random);
              boolean isCold = server.version().equals("v2") && now.toMillis() < 2000;
              return isCold ? new Response(false, usual.duration().multipliedBy(4)) : usual;
            });
    rollout.runFor(ORDER_TIME);
    assertCompletedInTime(rollout);
  }

  /** Guards against a version that fails only once its servers have their usual load. */
  @Test
  void rollsBackVersionThatFailsUnderLoadOnly() {
    SimulatedRollout rollout =
        ordered(
            1,
            (server, route, running, now, random) ->
                server.version().equals("v2") && running > 3 && random.nextInt(2) == 0
                    ? new Response(true, USUAL)
                    : SOUND.respond(server, route, running, now, random));
    rollout.runFor(ORDER_TIME);
    assertRolledBackWithinLimits(rollout);
  }

  /** Guards against a fault of all servers, of one, or of a fifth, taken for one of the version. */
  @ParameterizedTest
  @ValueSource(strings = {"v.*", "v2-7", "v.*[37]"})
  void completesSoundVersionDespiteFaultsOfOtherCauses(String faultyServers) {
    SimulatedRollout rollout =
        ordered(
            1,
            (server, route, running, now, random) -> {
              boolean isFaulty = server.id().matches(faultyServers);
              boolean isTime = now.toMillis() > 2000 && now.toMillis() < 4000;
              return isFaulty && isTime && random.nextInt(3) == 0
                  ? new Response(true, USUAL)
                  : SOUND.respond(server, route, running, now, random);
            });
    rollout.runFor(ORDER_TIME);
    assertCompletedInTime(rollout);
  }

  /** Guards against a return to servers that a completion on its way would stop. */
  @Test
  void faultFoundWhileOthersEndIsWrittenBeforeGatewaysReturn() {
    SimulatedRollout rollout =
        ordered(
            1,
            (server, route, running, now, random) -> {
              boolean isLong = server.version().equals("v1") && random.nextInt(50) == 0;
              return isLong
                  ? new Response(false, Duration.ofSeconds(8))
                  : failing(0.5, Duration.ofSeconds(7), "")
                      .respond(server, route, running, now, random);
            });
    rollout.runFor(Duration.ofMillis(6900));
    assertThat(rollout.gateways.values())
        .allSatisfy(gateway -> assertThat(gateway.filter.allows(rollout.servers.get(0))).isFalse());
    rollout.runFor(ORDER_TIME);
    assertThat(rollout.written).containsExactly(RolloutState.ACTIVE, RolloutState.ROLLED_BACK);
    assertThat(rollout.lastSentToTarget).isLessThanOrEqualTo(rollout.endedAt.plusMillis(20));
    assertThat(rollout.lastSentToTarget)
        .isLessThanOrEqualTo(rollout.badAt.get(49).plus(Duration.ofSeconds(5)));
  }

  /** Guards against an order that ends with its decider. */
  @ParameterizedTest
  @ValueSource(longs = {500, 3000, 6000, 6500, 7000})
  void nextGatewayContinuesWhenDeciderDies(long millis) {
    SimulatedRollout rollout = ordered(1, SOUND);
    rollout.runFor(Duration.ofMillis(millis));
    rollout.gateways.firstEntry().getValue().isAlive = false;
    rollout.runFor(ORDER_TIME.minusMillis(millis));
    assertThat(rollout.written).endsWith(RolloutState.COMPLETED).hasSize(2);
    assertThat(rollout.endedAt.minus(rollout.orderedAt)).isLessThanOrEqualTo(ORDER_TIME);
  }

  /** Guards against a write that is repeated, or never seen, because its response was lost. */
  @Test
  void lostResponseOfWriteIsWrittenOnce() {
    SimulatedRollout rollout = ordered(1, SOUND);
    rollout.lostResponses = 2;
    rollout.runFor(ORDER_TIME);
    assertCompletedInTime(rollout);
  }

  /** Guards against a shift of all traffic that can't be completed, and against a stuck order. */
  @Test
  void keepsSmallShareWhileStoreIsDownAndContinuesLater() {
    SimulatedRollout rollout = ordered(1, SOUND);
    rollout.isStoreDown = true;
    rollout.runFor(Duration.ofSeconds(8));
    assertThat((double) rollout.sentToTarget).isLessThanOrEqualTo(rollout.maxSentToFaulty());
    rollout.isStoreDown = false;
    rollout.runFor(Duration.ofSeconds(4));
    assertCompletedInTime(rollout);
  }

  /** Guards against old servers that are stopped while a gateway may still send to them. */
  @Test
  void doesNotCompleteWhileGatewayIsCutOff() {
    SimulatedRollout rollout = ordered(1, SOUND);
    rollout.runFor(Duration.ofSeconds(2));
    rollout.gateways.lastEntry().getValue().hearsPeers = false;
    rollout.runFor(Duration.ofSeconds(9));
    assertThat(rollout.written).containsExactly(RolloutState.ACTIVE);
    rollout.gateways.lastEntry().getValue().hearsPeers = true;
    rollout.runFor(Duration.ofSeconds(2));
    assertThat(rollout.written).endsWith(RolloutState.COMPLETED);
    assertThat(rollout.runningAtOthersAtCompletion).isZero();
  }

  /** Guards against a gateway that exposes its requests without reporting what comes of them. */
  @Test
  void gatewayThatHearsNoPeersSendsNothingToTarget() {
    SimulatedRollout rollout = ordered(1, failing(1, Duration.ZERO, ""));
    rollout.gateways.values().forEach(gateway -> gateway.hearsPeers = false);
    rollout.gateways.firstEntry().getValue().hearsPeers = true;
    rollout.runFor(ORDER_TIME);
    assertThat(rollout.sentToTarget).isZero();
    assertThat(rollout.written).isEmpty();
  }

  /** Guards against the end of an order that is written for its successor. */
  @ParameterizedTest
  @ValueSource(longs = {3000, 5800, 6300})
  void secondOrderReplacesFirst(long millis) {
    SimulatedRollout rollout = ordered(1, SOUND);
    rollout.runFor(Duration.ofMillis(millis));
    rollout.addServers("v3", 30);
    rollout.order("v3", ORDER_TIME);
    int sentToSecond = rollout.sentToTarget;
    rollout.runFor(ORDER_TIME);
    assertThat(rollout.written)
        .containsExactly(RolloutState.ACTIVE, RolloutState.ACTIVE, RolloutState.COMPLETED);
    assertThat(rollout.stored.target()).isEqualTo("v3");
    assertThat(rollout.sentToTarget).isGreaterThan(sentToSecond);
  }

  /** Guards against an order without servers that stops traffic or stays open. */
  @Test
  void orderForVersionWithoutServersIsRolledBackAtItsDeadline() {
    SimulatedRollout rollout = new SimulatedRollout(1, 3, 4, SOUND);
    rollout.order("v9", ORDER_TIME);
    rollout.runFor(ORDER_TIME.plusSeconds(1));
    assertThat(rollout.written).isEqualTo(List.of(RolloutState.ACTIVE, RolloutState.ROLLED_BACK));
    assertThat(rollout.unplaced).isZero();
  }
}
