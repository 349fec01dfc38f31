package org.wigeonstage.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.wigeonstage.routes.AccountQuota;

/**
 * Tests that usage stays within the tolerance when an account sends several times its rate, and
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

  /**
   * The minimum share of normal load served while a gateway is partitioned. The rest may be
   * rejected, because the gateways assume usage for the peers that they cannot reach.
   */
  private static final double MIN_SERVED_SHARE_DURING_PARTITION = 0.97;

  /**
   * The minimum share of normal load served soon after a restart. The rest may be rejected, because
   * the gateways assume that the tolerated burst was used before the restart.
   */
  private static final double MIN_SERVED_SHARE_AFTER_RESTART = 0.95;

  /**
   * The minimum share of the quota, including its burst, that can be used one window after a
   * restart. Gateways use 0.9 of the tolerated usage, which is 0.9 * (1 + OVERAGE_RATIO) = 0.99 of
   * the quota without the slack; the difference is the margin of the test.
   */
  private static final double MIN_USABLE_SHARE_OF_QUOTA = 0.95;

  @Property(tries = 20, seed = "20261204")
  void keepsUsageWithinToleranceWhileAllGatewaysAreConnected(@ForAll long seed) {
    new Simulation(seed).overload();
  }

  @Property(tries = 40, seed = "20261204")
  void keepsUsageWithinToleranceWhenAllGatewaysRestartAtOnce(@ForAll long seed) {
    new Simulation(seed).restartAllAtOnce();
  }

  @Property(tries = 20, seed = "20261204")
  void keepsUsageWithinToleranceWhenAllGatewaysRestartTwice(@ForAll long seed) {
    new Simulation(seed).restartAllTwice();
  }

  @Property(tries = 20, seed = "20261204")
  void keepsUsageWithinToleranceDuringRollingRestart(@ForAll long seed) {
    new Simulation(seed).restartOneByOne();
  }

  @Property(tries = 20, seed = "20261204")
  void keepsUsageWithinToleranceWhenAllGatewaysRestartWhileSomeArePartitioned(@ForAll long seed) {
    new Simulation(seed).restartAllWhileSomeArePartitioned();
  }

  @Property(tries = 20, seed = "20261204")
  void keepsUsageWithinToleranceWhileGatewaysArePartitioned(@ForAll long seed) {
    new Simulation(seed).overloadDuringPartition();
  }

  /**
   * With this seed, all 27 gateways are partitioned when the quota is exhausted. If each of them
   * used the whole sustained rate until it noticed that its peers were unresponsive, they would
   * together exceed the tolerance.
   */
  @Test
  void keepsUsageWithinToleranceWhenAllGatewaysArePartitionedAfterQuotaIsExhausted() {
    new Simulation(245_502).overloadDuringPartition();
  }

  @Property(tries = 20, seed = "20261204")
  void keepsUsageWithinToleranceWhenAllGatewaysRestartDuringPartition(@ForAll long seed) {
    new Simulation(seed).restartAllDuringPartition();
  }

  @Property(tries = 20, seed = "20261204")
  void keepsUsageWithinToleranceWhenManyGatewaysAreAddedAtOnce(@ForAll long seed) {
    new Simulation(seed).addMany();
  }

  @Property(tries = 20, seed = "20261204")
  void keepsUsageWithinToleranceWhenManyGatewaysAreRemovedAtOnce(@ForAll long seed) {
    new Simulation(seed).removeMany();
  }

  @Property(tries = 20, seed = "20261204")
  void servesNormalLoadWhileOneGatewayIsPartitioned(@ForAll long seed) {
    new Simulation(seed).runNormalLoadWhileOneIsPartitioned();
  }

  /**
   * With this seed, the usage that six peers report when the partition ends would exhaust the
   * tolerance bucket, though most of it has been replenished since it was used.
   */
  @Test
  void servesNormalLoadAfterPeersReportTheirUsageOfAPartition() {
    new Simulation(1_021_564).runNormalLoadWhileOneIsPartitioned();
  }

  @Property(tries = 20, seed = "20261204")
  void servesNormalLoadSoonAfterAllGatewaysRestart(@ForAll long seed) {
    new Simulation(seed).runNormalLoadAfterRestart();
  }

  /** One window after the restart, the full quota including the burst is available. */
  @Property(tries = 20, seed = "20261204")
  void servesFullQuotaOneWindowAfterAllGatewaysRestart(@ForAll long seed) {
    new Simulation(seed).useFullQuotaAfterRestart();
  }

  /** A simulation with a random number of gateways and a random quota. */
  private static final class Simulation {

    private final QuotaTolerance tolerance;
    private final AccountQuota quota;
    private final SimulatedGateways gateways;
    private final Random random;
    private final int maxUnits;

    Simulation(long seed) {
      random = new Random(seed);
      double unitsPerSecond = 40_000 + random.nextInt(400_000);
      double burst = unitsPerSecond * (0.5 + 1.5 * random.nextDouble());
      tolerance = new QuotaTolerance(WINDOW, OVERAGE_RATIO, 40_000 + random.nextInt(100_000));
      quota = new AccountQuota(unitsPerSecond, burst, true, 1);
      maxUnits = (int) (unitsPerSecond / (10 + random.nextInt(90)));
      gateways = new SimulatedGateways(4 + random.nextInt(29), quota, tolerance, random);
    }

    /**
     * Runs at normal load until all gateways exchange reports, and then above the rate, to end at a
     * random position in the window.
     */
    private void reachRandomPositionInWindow() {
      run(Duration.ofSeconds(3), NORMAL_LOAD_FACTOR);
      run(Duration.ofMillis(random.nextInt(9000)), 2 + 6 * random.nextDouble());
    }

    private void run(Duration duration, double loadFactor) {
      gateways.run(duration, loadFactor * quota.unitsPerSecond(), maxUnits);
    }

    void overload() {
      reachRandomPositionInWindow();
      run(Duration.ofSeconds(12), 2 + 6 * random.nextDouble());
      gateways.assertNoWindowExceedsTolerance();
    }

    void restartAllAtOnce() {
      reachRandomPositionInWindow();
      gateways.killAll(MAX_DOWNTIME);
      run(Duration.ofSeconds(12), 2 + 6 * random.nextDouble());
      gateways.assertNoWindowExceedsTolerance();
    }

    void restartAllTwice() {
      reachRandomPositionInWindow();
      for (int i = 0; i < 2; i++) {
        gateways.killAll(MAX_DOWNTIME);
        run(Duration.ofMillis(500 + random.nextInt(9000)), 2 + 6 * random.nextDouble());
      }
      gateways.assertNoWindowExceedsTolerance();
    }

    void restartOneByOne() {
      reachRandomPositionInWindow();
      double loadFactor = 2 + 6 * random.nextDouble();
      int restartIntervalMillis = 100 + random.nextInt(2000);
      for (int i = 0; i < gateways.count(); i++) {
        gateways.kill(i, Duration.ofMillis(random.nextInt(1000)));
        run(Duration.ofMillis(restartIntervalMillis), loadFactor);
      }
      run(Duration.ofSeconds(9), loadFactor);
      gateways.assertNoWindowExceedsTolerance();
    }

    void restartAllWhileSomeArePartitioned() {
      reachRandomPositionInWindow();
      gateways.killAll(MAX_DOWNTIME);
      for (int i = 0; i < gateways.count(); i++) {
        if (random.nextInt(3) == 0) {
          gateways.partition(i, Duration.ofMillis(2000 + random.nextInt(8000)));
        }
      }
      run(Duration.ofSeconds(15), 2 + 6 * random.nextDouble());
      gateways.assertNoWindowExceedsTolerance();
    }

    private void partitionSome() {
      boolean partitionsAll = random.nextInt(3) == 0;
      for (int i = 0; i < gateways.count(); i++) {
        if (partitionsAll || random.nextInt(3) == 0) {
          gateways.partition(i, Duration.ofMillis(1000 + random.nextInt(5000)));
        }
      }
    }

    void overloadDuringPartition() {
      reachRandomPositionInWindow();
      partitionSome();
      run(Duration.ofSeconds(12), 2 + 6 * random.nextDouble());
      gateways.assertNoWindowExceedsTolerance();
    }

    void restartAllDuringPartition() {
      run(Duration.ofSeconds(3), NORMAL_LOAD_FACTOR);
      partitionSome();
      run(Duration.ofMillis(random.nextInt(4000)), 2 + 6 * random.nextDouble());
      gateways.killAll(MAX_DOWNTIME);
      run(Duration.ofSeconds(12), 2 + 6 * random.nextDouble());
      gateways.assertNoWindowExceedsTolerance();
    }

    void addMany() {
      int added = 1 + random.nextInt(gateways.count() - 1);
      for (int i = 0; i < added; i++) {
        gateways.exclude(i);
      }
      reachRandomPositionInWindow();
      for (int i = 0; i < added; i++) {
        gateways.kill(i, Duration.ofMillis(random.nextInt(1000)));
      }
      run(Duration.ofSeconds(12), 2 + 6 * random.nextDouble());
      gateways.assertNoWindowExceedsTolerance();
    }

    void removeMany() {
      reachRandomPositionInWindow();
      int removed = 1 + random.nextInt(gateways.count() - 1);
      boolean areHostsRemoved = random.nextBoolean();
      for (int i = 0; i < removed; i++) {
        gateways.remove(i, areHostsRemoved);
      }
      run(Duration.ofSeconds(12), 2 + 6 * random.nextDouble());
      gateways.assertNoWindowExceedsTolerance();
    }

    void runNormalLoadWhileOneIsPartitioned() {
      run(Duration.ofSeconds(3), NORMAL_LOAD_FACTOR);
      gateways.partition(0, Duration.ofSeconds(6));
      Duration partitionedAt = gateways.now();
      long requestedBefore = gateways.requested();
      run(Duration.ofSeconds(9), NORMAL_LOAD_FACTOR);
      long requested = gateways.requested() - requestedBefore;
      assertThat(gateways.servedSince(partitionedAt))
          .isGreaterThan((long) (MIN_SERVED_SHARE_DURING_PARTITION * requested));
    }

    void runNormalLoadAfterRestart() {
      reachRandomPositionInWindow();
      gateways.killAll(MAX_DOWNTIME);
      run(RECOVERY_TIME, NORMAL_LOAD_FACTOR);
      Duration recoveredAt = gateways.now();
      long requestedBefore = gateways.requested();
      run(WINDOW.minus(RECOVERY_TIME), NORMAL_LOAD_FACTOR);
      long requested = gateways.requested() - requestedBefore;
      assertThat(gateways.servedSince(recoveredAt))
          .isGreaterThan((long) (MIN_SERVED_SHARE_AFTER_RESTART * requested));
    }

    void useFullQuotaAfterRestart() {
      run(Duration.ofSeconds(3), NORMAL_LOAD_FACTOR);
      gateways.killAll(MAX_DOWNTIME);
      run(WINDOW.plus(MAX_DOWNTIME), NORMAL_LOAD_FACTOR);
      Duration windowPassedAt = gateways.now();
      run(WINDOW, 3);
      long quotaUnits = (long) (quota.unitsPerSecond() * WINDOW.toSeconds() + quota.burstUnits());
      assertThat(gateways.servedSince(windowPassedAt))
          .isGreaterThan((long) (MIN_USABLE_SHARE_OF_QUOTA * quotaUnits));
    }
  }
}
