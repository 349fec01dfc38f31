package org.wigeonstage.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.wigeonstage.routes.AccountQuota;

/** One account asks several times its limit of many gateways, some or all of which restart. */
class QuotaFleetTest {

  private static final Duration WINDOW = Duration.ofSeconds(8);
  private static final Duration RESTARTED_WITHIN = Duration.ofSeconds(1);

  /** When all gateways have started again and hear each other. */
  private static final Duration IN_TOUCH_AGAIN = Duration.ofMillis(2500);

  private static final double OVERAGE = 0.1;

  /** The part of its limit that an account usually asks for. */
  private static final double USUAL = 0.55;

  @Property(tries = 20, seed = "20261204")
  void keepsTheLimitWhileAllGatewaysHearEachOther(@ForAll long seed) {
    new Trial(seed).askMuch();
  }

  @Property(tries = 40, seed = "20261204")
  void keepsTheLimitWhenAllGatewaysRestartAtOnce(@ForAll long seed) {
    new Trial(seed).restartAllAtOnce();
  }

  @Property(tries = 20, seed = "20261204")
  void keepsTheLimitWhenAllGatewaysRestartTwice(@ForAll long seed) {
    new Trial(seed).restartAllTwice();
  }

  @Property(tries = 20, seed = "20261204")
  void keepsTheLimitWhenGatewaysRestartOneAfterTheOther(@ForAll long seed) {
    new Trial(seed).restartInTurn();
  }

  @Property(tries = 20, seed = "20261204")
  void keepsTheLimitWhenAllGatewaysRestartWhileSomeAreCutOff(@ForAll long seed) {
    new Trial(seed).restartAllWhileSomeAreCutOff();
  }

  @Property(tries = 20, seed = "20261204")
  void keepsTheLimitWhileGatewaysAreCutOff(@ForAll long seed) {
    new Trial(seed).cutOffWhileMuchIsAsked();
  }

  /** Nothing is left when all are cut off; each of 27 took what the rate added until it noticed. */
  @Test
  void sharesTheRateAsSoonAsPeersAreSilent() {
    new Trial(245_502).cutOffWhileMuchIsAsked();
  }

  @Property(tries = 20, seed = "20261204")
  void keepsTheLimitWhenAllGatewaysRestartAfterTheyWereCutOff(@ForAll long seed) {
    new Trial(seed).restartAllWhileAllAreCutOff();
  }

  @Property(tries = 20, seed = "20261204")
  void keepsTheLimitWhileManyGatewaysAreAddedAtOnce(@ForAll long seed) {
    new Trial(seed).addMany();
  }

  @Property(tries = 20, seed = "20261204")
  void keepsTheLimitWhileManyGatewaysLeaveAtOnce(@ForAll long seed) {
    new Trial(seed).removeMany();
  }

  @Property(tries = 20, seed = "20261204")
  void servesTheUsualWhileOneGatewayIsCutOff(@ForAll long seed) {
    new Trial(seed).askForTheUsualWhileOneIsCutOff();
  }

  @Property(tries = 20, seed = "20261204")
  void servesTheUsualSoonAfterAllGatewaysRestarted(@ForAll long seed) {
    new Trial(seed).askForTheUsualAfterARestart();
  }

  /** What is within the limit for a whole window, burst included, is served after one window. */
  @Property(tries = 20, seed = "20261204")
  void servesTheWholeLimitAWindowAfterAllGatewaysRestarted(@ForAll long seed) {
    new Trial(seed).askForAllAfterARestart();
  }

  /** A fleet and an account of random sizes. */
  private static final class Trial {

    private final QuotaTolerance tolerance;
    private final AccountQuota quota;
    private final QuotaFleet fleet;
    private final Random random;
    private final int maxUnits;

    Trial(long seed) {
      random = new Random(seed);
      double perSecond = 40_000 + random.nextInt(400_000);
      double burst = perSecond * (0.5 + 1.5 * random.nextDouble());
      tolerance = new QuotaTolerance(WINDOW, OVERAGE, 40_000 + random.nextInt(100_000));
      quota = new AccountQuota(perSecond, burst, true, 1);
      maxUnits = (int) (perSecond / (10 + random.nextInt(90)));
      fleet = new QuotaFleet(4 + random.nextInt(29), quota, tolerance, random);
    }

    /** The account asks for its usual until all gateways hear each other, and then for more. */
    private void askUntilAMomentOfTheWindow() {
      ask(Duration.ofSeconds(3), USUAL);
      ask(Duration.ofMillis(random.nextInt(9000)), 2 + 6 * random.nextDouble());
    }

    private void ask(Duration duration, double ofTheLimit) {
      fleet.run(duration, ofTheLimit * quota.perSecond(), maxUnits);
    }

    void askMuch() {
      askUntilAMomentOfTheWindow();
      ask(Duration.ofSeconds(12), 2 + 6 * random.nextDouble());
      fleet.assertNoWindowAboveWhatIsTolerated();
    }

    void restartAllAtOnce() {
      askUntilAMomentOfTheWindow();
      fleet.killAll(RESTARTED_WITHIN);
      ask(Duration.ofSeconds(12), 2 + 6 * random.nextDouble());
      fleet.assertNoWindowAboveWhatIsTolerated();
    }

    void restartAllTwice() {
      askUntilAMomentOfTheWindow();
      for (int i = 0; i < 2; i++) {
        fleet.killAll(RESTARTED_WITHIN);
        ask(Duration.ofMillis(500 + random.nextInt(9000)), 2 + 6 * random.nextDouble());
      }
      fleet.assertNoWindowAboveWhatIsTolerated();
    }

    void restartInTurn() {
      askUntilAMomentOfTheWindow();
      double demand = 2 + 6 * random.nextDouble();
      int pauseMillis = 100 + random.nextInt(2000);
      for (int i = 0; i < fleet.count(); i++) {
        fleet.kill(i, Duration.ofMillis(random.nextInt(1000)));
        ask(Duration.ofMillis(pauseMillis), demand);
      }
      ask(Duration.ofSeconds(9), demand);
      fleet.assertNoWindowAboveWhatIsTolerated();
    }

    void restartAllWhileSomeAreCutOff() {
      askUntilAMomentOfTheWindow();
      fleet.killAll(RESTARTED_WITHIN);
      for (int i = 0; i < fleet.count(); i++) {
        if (random.nextInt(3) == 0) {
          fleet.cutOff(i, Duration.ofMillis(2000 + random.nextInt(8000)));
        }
      }
      ask(Duration.ofSeconds(15), 2 + 6 * random.nextDouble());
      fleet.assertNoWindowAboveWhatIsTolerated();
    }

    private void cutOffSome() {
      boolean isAll = random.nextInt(3) == 0;
      for (int i = 0; i < fleet.count(); i++) {
        if (isAll || random.nextInt(3) == 0) {
          fleet.cutOff(i, Duration.ofMillis(1000 + random.nextInt(5000)));
        }
      }
    }

    void cutOffWhileMuchIsAsked() {
      askUntilAMomentOfTheWindow();
      cutOffSome();
      ask(Duration.ofSeconds(12), 2 + 6 * random.nextDouble());
      fleet.assertNoWindowAboveWhatIsTolerated();
    }

    void restartAllWhileAllAreCutOff() {
      ask(Duration.ofSeconds(3), USUAL);
      cutOffSome();
      ask(Duration.ofMillis(random.nextInt(4000)), 2 + 6 * random.nextDouble());
      fleet.killAll(RESTARTED_WITHIN);
      ask(Duration.ofSeconds(12), 2 + 6 * random.nextDouble());
      fleet.assertNoWindowAboveWhatIsTolerated();
    }

    void addMany() {
      int added = 1 + random.nextInt(fleet.count() - 1);
      for (int i = 0; i < added; i++) {
        fleet.takeOut(i);
      }
      askUntilAMomentOfTheWindow();
      for (int i = 0; i < added; i++) {
        fleet.kill(i, Duration.ofMillis(random.nextInt(1000)));
      }
      ask(Duration.ofSeconds(12), 2 + 6 * random.nextDouble());
      fleet.assertNoWindowAboveWhatIsTolerated();
    }

    void removeMany() {
      askUntilAMomentOfTheWindow();
      int removed = 1 + random.nextInt(fleet.count() - 1);
      boolean hostsAreGone = random.nextBoolean();
      for (int i = 0; i < removed; i++) {
        fleet.remove(i, hostsAreGone);
      }
      ask(Duration.ofSeconds(12), 2 + 6 * random.nextDouble());
      fleet.assertNoWindowAboveWhatIsTolerated();
    }

    void askForTheUsualWhileOneIsCutOff() {
      ask(Duration.ofSeconds(3), USUAL);
      fleet.cutOff(0, Duration.ofSeconds(6));
      Duration before = fleet.now();
      long askedBefore = fleet.asked();
      ask(Duration.ofSeconds(9), USUAL);
      long asked = fleet.asked() - askedBefore;
      assertThat(fleet.servedSince(before)).isGreaterThan((long) (0.97 * asked));
    }

    void askForTheUsualAfterARestart() {
      askUntilAMomentOfTheWindow();
      fleet.killAll(RESTARTED_WITHIN);
      ask(IN_TOUCH_AGAIN, USUAL);
      Duration inTouch = fleet.now();
      long askedBefore = fleet.asked();
      ask(WINDOW.minus(IN_TOUCH_AGAIN), USUAL);
      long asked = fleet.asked() - askedBefore;
      assertThat(fleet.servedSince(inTouch)).isGreaterThan((long) (0.95 * asked));
    }

    void askForAllAfterARestart() {
      ask(Duration.ofSeconds(3), USUAL);
      fleet.killAll(RESTARTED_WITHIN);
      ask(WINDOW.plus(RESTARTED_WITHIN), USUAL);
      Duration windowLater = fleet.now();
      ask(WINDOW, 3);
      long limit = (long) (quota.perSecond() * WINDOW.toSeconds() + quota.burst());
      assertThat(fleet.servedSince(windowLater)).isGreaterThan((long) (0.95 * limit));
    }
  }
}
