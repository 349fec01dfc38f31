package org.wigeonstage.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.wigeonstage.routes.AccountQuota;

/**
 * Tests that usage stays within the tolerance when an account sends several times its limit, and
 * that normal load is served, while gateways restart, are partitioned, or join and leave.
 */
class QuotaFleetTest {

  private static final Duration WINDOW = Duration.ofSeconds(8);
  private static final Duration MAX_DOWNTIME = Duration.ofSeconds(1);

  /** The time after which all gateways have restarted and exchange reports again. */
  private static final Duration RECOVERY_TIME = Duration.ofMillis(2500);

  private static final double OVERAGE_RATIO = 0.1;

  /** The normal load of an account, relative to its rate. */
  private static final double NORMAL_LOAD_FACTOR = 0.55;

  @Property(tries = 20, seed = "20261204")
  void keepsLimitWhileAllGatewaysAreConnected(@ForAll long seed) {
    new Simulation(seed).overload();
  }

  @Property(tries = 40, seed = "20261204")
  void keepsLimitWhenAllGatewaysRestartAtOnce(@ForAll long seed) {
    new Simulation(seed).restartAllAtOnce();
  }

  @Property(tries = 20, seed = "20261204")
  void keepsLimitWhenAllGatewaysRestartTwice(@ForAll long seed) {
    new Simulation(seed).restartAllTwice();
  }

  @Property(tries = 20, seed = "20261204")
  void keepsLimitDuringRollingRestart(@ForAll long seed) {
    new Simulation(seed).restartOneByOne();
  }

  @Property(tries = 20, seed = "20261204")
  void keepsLimitWhenAllGatewaysRestartWhileSomeArePartitioned(@ForAll long seed) {
    new Simulation(seed).restartAllWhileSomeArePartitioned();
  }

  @Property(tries = 20, seed = "20261204")
  void keepsLimitWhileGatewaysArePartitioned(@ForAll long seed) {
    new Simulation(seed).overloadDuringPartition();
  }

  /**
   * The limit is exhausted when all 27 gateways are partitioned. Each of them used the whole rate
   * until it noticed that its peers were unresponsive, which together exceeded the limit.
   */
  @Test
  void sharesRateAsSoonAsPeersAreUnresponsive() {
    new Simulation(245_502).overloadDuringPartition();
  }

  @Property(tries = 20, seed = "20261204")
  void keepsLimitWhenAllGatewaysRestartDuringPartition(@ForAll long seed) {
    new Simulation(seed).restartAllDuringPartition();
  }

  @Property(tries = 20, seed = "20261204")
  void keepsLimitWhenManyGatewaysAreAddedAtOnce(@ForAll long seed) {
    new Simulation(seed).addMany();
  }

  @Property(tries = 20, seed = "20261204")
  void keepsLimitWhenManyGatewaysAreRemovedAtOnce(@ForAll long seed) {
    new Simulation(seed).removeMany();
  }

  @Property(tries = 20, seed = "20261204")
  void servesNormalLoadWhileOneGatewayIsPartitioned(@ForAll long seed) {
    new Simulation(seed).runNormalLoadWhileOneIsPartitioned();
  }

  @Property(tries = 20, seed = "20261204")
  void servesNormalLoadSoonAfterAllGatewaysRestart(@ForAll long seed) {
    new Simulation(seed).runNormalLoadAfterRestart();
  }

  /** One window after the restart, the full limit including the burst is available. */
  @Property(tries = 20, seed = "20261204")
  void servesFullLimitOneWindowAfterAllGatewaysRestart(@ForAll long seed) {
    new Simulation(seed).useFullLimitAfterRestart();
  }

  /** A simulation with a random number of gateways and a random quota. */
  private static final class Simulation {

    private final QuotaTolerance tolerance;
    private final AccountQuota quota;
    private final QuotaFleet fleet;
    private final Random random;
    private final int maxUnits;

    Simulation(long seed) {
      random = new Random(seed);
      double unitsPerSecond = 40_000 + random.nextInt(400_000);
      double burst = unitsPerSecond * (0.5 + 1.5 * random.nextDouble());
      tolerance = new QuotaTolerance(WINDOW, OVERAGE_RATIO, 40_000 + random.nextInt(100_000));
      quota = new AccountQuota(unitsPerSecond, burst, true, 1);
      maxUnits = (int) (unitsPerSecond / (10 + random.nextInt(90)));
      fleet = new QuotaFleet(4 + random.nextInt(29), quota, tolerance, random);
    }

    /**
     * Runs at normal load until all gateways exchange reports, and then above the limit, to end at
     * a random position in the window.
     */
    private void reachRandomPositionInWindow() {
      run(Duration.ofSeconds(3), NORMAL_LOAD_FACTOR);
      run(Duration.ofMillis(random.nextInt(9000)), 2 + 6 * random.nextDouble());
    }

    private void run(Duration duration, double loadFactor) {
      fleet.run(duration, loadFactor * quota.unitsPerSecond(), maxUnits);
    }

    void overload() {
      reachRandomPositionInWindow();
      run(Duration.ofSeconds(12), 2 + 6 * random.nextDouble());
      fleet.assertNoWindowExceedsTolerance();
    }

    void restartAllAtOnce() {
      reachRandomPositionInWindow();
      fleet.killAll(MAX_DOWNTIME);
      run(Duration.ofSeconds(12), 2 + 6 * random.nextDouble());
      fleet.assertNoWindowExceedsTolerance();
    }

    void restartAllTwice() {
      reachRandomPositionInWindow();
      for (int i = 0; i < 2; i++) {
        fleet.killAll(MAX_DOWNTIME);
        run(Duration.ofMillis(500 + random.nextInt(9000)), 2 + 6 * random.nextDouble());
      }
      fleet.assertNoWindowExceedsTolerance();
    }

    void restartOneByOne() {
      reachRandomPositionInWindow();
      double loadFactor = 2 + 6 * random.nextDouble();
      int restartIntervalMillis = 100 + random.nextInt(2000);
      for (int i = 0; i < fleet.count(); i++) {
        fleet.kill(i, Duration.ofMillis(random.nextInt(1000)));
        run(Duration.ofMillis(restartIntervalMillis), loadFactor);
      }
      run(Duration.ofSeconds(9), loadFactor);
      fleet.assertNoWindowExceedsTolerance();
    }

    void restartAllWhileSomeArePartitioned() {
      reachRandomPositionInWindow();
      fleet.killAll(MAX_DOWNTIME);
      for (int i = 0; i < fleet.count(); i++) {
        if (random.nextInt(3) == 0) {
          fleet.partition(i, Duration.ofMillis(2000 + random.nextInt(8000)));
        }
      }
      run(Duration.ofSeconds(15), 2 + 6 * random.nextDouble());
      fleet.assertNoWindowExceedsTolerance();
    }

    private void partitionSome() {
      boolean partitionsAll = random.nextInt(3) == 0;
      for (int i = 0; i < fleet.count(); i++) {
        if (partitionsAll || random.nextInt(3) == 0) {
          fleet.partition(i, Duration.ofMillis(1000 + random.nextInt(5000)));
        }
      }
    }

    void overloadDuringPartition() {
      reachRandomPositionInWindow();
      partitionSome();
      run(Duration.ofSeconds(12), 2 + 6 * random.nextDouble());
      fleet.assertNoWindowExceedsTolerance();
    }

    void restartAllDuringPartition() {
      run(Duration.ofSeconds(3), NORMAL_LOAD_FACTOR);
      partitionSome();
      run(Duration.ofMillis(random.nextInt(4000)), 2 + 6 * random.nextDouble());
      fleet.killAll(MAX_DOWNTIME);
      run(Duration.ofSeconds(12), 2 + 6 * random.nextDouble());
      fleet.assertNoWindowExceedsTolerance();
    }

    void addMany() {
      int added = 1 + random.nextInt(fleet.count() - 1);
      for (int i = 0; i < added; i++) {
        fleet.exclude(i);
      }
      reachRandomPositionInWindow();
      for (int i = 0; i < added; i++) {
        fleet.kill(i, Duration.ofMillis(random.nextInt(1000)));
      }
      run(Duration.ofSeconds(12), 2 + 6 * random.nextDouble());
      fleet.assertNoWindowExceedsTolerance();
    }

    void removeMany() {
      reachRandomPositionInWindow();
      int removed = 1 + random.nextInt(fleet.count() - 1);
      boolean areHostsRemoved = random.nextBoolean();
      for (int i = 0; i < removed; i++) {
        fleet.remove(i, areHostsRemoved);
      }
      run(Duration.ofSeconds(12), 2 + 6 * random.nextDouble());
      fleet.assertNoWindowExceedsTolerance();
    }

    void runNormalLoadWhileOneIsPartitioned() {
      run(Duration.ofSeconds(3), NORMAL_LOAD_FACTOR);
      fleet.partition(0, Duration.ofSeconds(6));
      Duration partitionedAt = fleet.now();
      long requestedBefore = fleet.requested();
      run(Duration.ofSeconds(9), NORMAL_LOAD_FACTOR);
      long requested = fleet.requested() - requestedBefore;
      assertThat(fleet.servedSince(partitionedAt)).isGreaterThan((long) (0.97 * requested));
    }

    void runNormalLoadAfterRestart() {
      reachRandomPositionInWindow();
      fleet.killAll(MAX_DOWNTIME);
      run(RECOVERY_TIME, NORMAL_LOAD_FACTOR);
      Duration recoveredAt = fleet.now();
      long requestedBefore = fleet.requested();
      run(WINDOW.minus(RECOVERY_TIME), NORMAL_LOAD_FACTOR);
      long requested = fleet.requested() - requestedBefore;
      assertThat(fleet.servedSince(recoveredAt)).isGreaterThan((long) (0.95 * requested));
    }

    void useFullLimitAfterRestart() {
      run(Duration.ofSeconds(3), NORMAL_LOAD_FACTOR);
      fleet.killAll(MAX_DOWNTIME);
      run(WINDOW.plus(MAX_DOWNTIME), NORMAL_LOAD_FACTOR);
      Duration windowPassedAt = fleet.now();
      run(WINDOW, 3);
      long limit = (long) (quota.unitsPerSecond() * WINDOW.toSeconds() + quota.burstUnits());
      assertThat(fleet.servedSince(windowPassedAt)).isGreaterThan((long) (0.95 * limit));
    }
  }
}
