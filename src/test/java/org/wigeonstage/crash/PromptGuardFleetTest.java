package org.wigeonstage.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Simulates many gateways that exchange what they observe. The load pattern: requests with a part
 * that crashes servers come at any gateway, beside sound ones that share their other parts.
 */
class PromptGuardFleetTest {

  private static final int SEEDS = 20;
  private static final Duration LENGTH = Duration.ofSeconds(90);
  private static final int CRASHES_TO_LEARN = 5;
  private static final Duration CONTACT_TIME = Duration.ofSeconds(3);
  private static final int MAX_LATER_ARRIVALS = 3;

  /** From this time on, at most a small share of the sound requests may be held. */
  private static final Duration SETTLED = Duration.ofSeconds(20);

  private static final double MAX_HELD_SHARE = 0.01;

  private static List<String> soundParts(SimulatedFleet fleet) {
    return List.of(
        "first", "account-" + fleet.random().nextInt(5), "session-" + fleet.random().nextInt(200));
  }

  private static List<String> crashingParts(SimulatedFleet fleet, String part) {
    return List.of("first", part, "session-" + fleet.random().nextInt(200));
  }

  private static void assertFewLaterArrivals(SimulatedFleet fleet, String part, long seed) {
    assertThat(fleet.arrivalsAfter(part, CRASHES_TO_LEARN, CONTACT_TIME))
        .as("arrivals of %s with seed %s, after %s crashes", part, seed, fleet.crashCount(part))
        .isLessThanOrEqualTo(MAX_LATER_ARRIVALS);
  }

  private static void assertSoundRequestsAreSent(SimulatedFleet fleet, Duration from, long seed) {
    assertThat(fleet.heldShare(from, LENGTH))
        .as("share of held sound requests with seed %s", seed)
        .isLessThanOrEqualTo(MAX_HELD_SHARE);
  }

  @ParameterizedTest
  @CsvSource({
    "1, 5, 20, 20",
    "3, 5, 20, 20",
    "3, 0.5, 20, 20",
    "4, 1.5, 10, 20",
    "33, 5, 100, 3",
    "33, 30, 200, 3"
  })
  void aPartThatCrashesServersIsHeldAtAllGateways(
      int gateways, double crashingPerSecond, double soundPerSecond, int seeds) {
    for (long seed = 0; seed < seeds; seed++) {
      SimulatedFleet fleet = new SimulatedFleet(gateways, 10, seed);
      fleet.addCrashingPart("bad");
      fleet.sendRequests(soundPerSecond, () -> soundParts(fleet));
      fleet.sendRequests(crashingPerSecond, () -> crashingParts(fleet, "bad"));
      fleet.run(LENGTH);
      assertFewLaterArrivals(fleet, "bad", seed);
      assertSoundRequestsAreSent(fleet, SETTLED, seed);
    }
  }

  @Test
  void twoPartsThatCrashServersAreBothHeld() {
    for (long seed = 0; seed < SEEDS; seed++) {
      SimulatedFleet fleet = new SimulatedFleet(4, 10, seed);
      fleet.addCrashingPart("bad-1");
      fleet.addCrashingPart("bad-2");
      fleet.sendRequests(30, () -> soundParts(fleet));
      fleet.sendRequests(3, () -> crashingParts(fleet, "bad-1"));
      fleet.sendRequests(3, () -> crashingParts(fleet, "bad-2"));
      fleet.run(LENGTH);
      assertFewLaterArrivals(fleet, "bad-1", seed);
      assertFewLaterArrivals(fleet, "bad-2", seed);
      assertSoundRequestsAreSent(fleet, SETTLED, seed);
    }
  }

  @Test
  void theFirstPartOfAllRequestsOfARouteIsHeldIfItCrashesServers() {
    for (long seed = 0; seed < SEEDS; seed++) {
      SimulatedFleet fleet = new SimulatedFleet(4, 10, seed);
      fleet.addCrashingPart("first-of-route");
      fleet.sendRequests(30, () -> soundParts(fleet));
      fleet.sendRequests(
          5,
          () ->
              List.of(
                  "first-of-route",
                  "account-" + fleet.random().nextInt(5),
                  "session-" + fleet.random().nextInt(200)));
      fleet.run(LENGTH);
      assertFewLaterArrivals(fleet, "first-of-route", seed);
      assertSoundRequestsAreSent(fleet, SETTLED, seed);
    }
  }

  /** Servers crash in groups, connections are reset, and nothing is wrong with any request. */
  @ParameterizedTest
  @CsvSource({"4, 8, 20, 20", "33, 40, 200, 2"})
  void soundRequestsAreNotHeldWhenServersEndByThemselves(
      int gateways, int servers, double perSecond, int seeds) {
    for (long seed = 0; seed < seeds; seed++) {
      SimulatedFleet fleet = new SimulatedFleet(gateways, servers, seed);
      fleet.sendRequests(perSecond, () -> soundParts(fleet));
      for (int second = 2; second < LENGTH.toSeconds(); second += 2) {
        int kind = fleet.random().nextInt(3);
        fleet.at(
            Duration.ofSeconds(second).plusMillis(fleet.random().nextInt(2000)),
            () -> {
              if (kind == 0) {
                fleet.resetConnections(0.5);
              } else {
                fleet.crashServers(kind == 1 ? 0.15 : 0.4);
              }
            });
      }
      fleet.run(LENGTH);
      assertSoundRequestsAreSent(fleet, Duration.ZERO, seed);
    }
  }

  @Test
  void gatewaysThatRestartOrWereCutOffLearnWhatIsHeld() {
    for (long seed = 0; seed < SEEDS; seed++) {
      SimulatedFleet fleet = new SimulatedFleet(5, 10, seed);
      fleet.addCrashingPart("bad");
      fleet.setCut(0, true);
      fleet.sendRequests(30, () -> soundParts(fleet));
      fleet.at(
          Duration.ofSeconds(1), () -> fleet.sendRequests(5, () -> crashingParts(fleet, "bad")));
      fleet.at(Duration.ofSeconds(2), () -> fleet.setCut(0, false));
      for (int gateway = 0; gateway < 5; gateway++) {
        int index = gateway;
        fleet.at(Duration.ofSeconds(20 + 10L * gateway), () -> fleet.restartGateway(index));
      }
      fleet.run(LENGTH);
      assertFewLaterArrivals(fleet, "bad", seed);
    }
  }

  @Test
  void aPartIsReleasedByATrialOnceServersAreSound() {
    for (long seed = 0; seed < SEEDS; seed++) {
      SimulatedFleet fleet = new SimulatedFleet(4, 10, seed);
      fleet.addCrashingPart("bad");
      fleet.sendRequests(5, () -> crashingParts(fleet, "bad"));
      fleet.at(Duration.ofSeconds(8), () -> fleet.removeCrashingPart("bad"));
      fleet.run(LENGTH);
      assertSoundRequestsAreSent(fleet, Duration.ofSeconds(40), seed);
    }
  }
}
