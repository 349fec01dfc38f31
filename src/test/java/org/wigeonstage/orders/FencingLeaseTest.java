package org.wigeonstage.orders;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class FencingLeaseTest {

  private static final int RUNS = 10_000;
  private static final long SEED = 20261204;

  private static Duration seconds(double value) {
    return Duration.ofMillis((long) (value * 1000));
  }

  private static FencingLease hold(boolean checks, boolean predecessor) {
    FencingLease hold = new FencingLease(checks);
    hold.registered(Duration.ZERO, predecessor);
    return hold;
  }

  @Test
  void aHoldWithoutConfirmationIsNotInForce() {
    assertThat(hold(true, false).isInForce(Duration.ZERO)).isFalse();
  }

  @Test
  void aHoldEndsTenSecondsAfterItsConfirmationWasBegun() {
    FencingLease hold = hold(true, false);
    hold.confirmed(seconds(1));
    assertThat(hold.isInForce(seconds(10.9))).isTrue();
    assertThat(hold.isInForce(seconds(11))).isFalse();
  }

  @Test
  void aSuccessorWaitsWhereTheBackendServerDoesNotCheck() {
    FencingLease hold = hold(false, true);
    hold.confirmed(seconds(14));
    assertThat(hold.isInForce(seconds(14.9))).isFalse();
    assertThat(hold.isInForce(seconds(15))).isTrue();
  }

  @Test
  void aSuccessorDoesNotWaitWhereTheBackendServerChecks() {
    FencingLease hold = hold(true, true);
    hold.confirmed(Duration.ZERO);
    assertThat(hold.isInForce(seconds(1))).isTrue();
  }

  @Test
  void aLostRegistrationEndsTheHold() {
    FencingLease hold = hold(true, false);
    hold.confirmed(Duration.ZERO);
    hold.lost();
    assertThat(hold.isInForce(seconds(1))).isFalse();
  }

  /** What guards against orders of a replaced agent. */
  private record Guards(boolean hold, boolean backendServerChecks) {}

  /** Pauses of the replaced agent, in seconds. */
  private record Pauses(double beforeCheck, double afterCheck) {}

  private static int staleOrders(Guards guards, boolean longAfterCheck) {
    SplittableRandom random = new SplittableRandom(SEED);
    int stale = 0;
    for (int run = 0; run < RUNS; run++) {
      double successorAt = random.nextDouble(60);
      double orderAt = random.nextDouble(60);
      double afterCheck = random.nextDouble(longAfterCheck ? 60 : 4);
      Pauses pauses = new Pauses(random.nextInt(2) * random.nextDouble(60), afterCheck);
      stale += isStaleOrderCarriedOut(guards, successorAt, orderAt, pauses) ? 1 : 0;
    }
    return stale;
  }

  /** The replaced agent confirms its hold every 5 s until it pauses, and then gives an order. */
  private static boolean isStaleOrderCarriedOut(
      Guards guards, double successorAt, double orderAt, Pauses pauses) {
    FencingLease old = hold(guards.backendServerChecks(), false);
    double lastConfirmation = Math.floor(Math.min(orderAt, successorAt) / 5) * 5;
    old.confirmed(seconds(lastConfirmation));
    double checkedAt = orderAt + pauses.beforeCheck();
    if (guards.hold() && !old.isInForce(seconds(checkedAt))) {
      return false;
    }
    double sentAt = checkedAt + pauses.afterCheck();
    boolean waits = guards.hold() && !guards.backendServerChecks();
    double wait = waits ? FencingLease.LENGTH.plus(FencingLease.MARGIN).toSeconds() : 0;
    boolean late = sentAt > successorAt + wait;
    return late && !guards.backendServerChecks();
  }

  @Test
  void staleOrdersAreCountedWithAndWithoutEachGuard() {
    int checksAlone = staleOrders(new Guards(false, true), true);
    int checksAndHold = staleOrders(new Guards(true, true), true);
    int nothing = staleOrders(new Guards(false, false), true);
    int holdAlone = staleOrders(new Guards(true, false), true);
    int holdShortPauses = staleOrders(new Guards(true, false), false);
    System.out.printf(
        "stale orders in %d runs, seed %d: no guard %d; hold alone %d, with pauses behind the"
            + " check of at most 4 s %d; backend server checks %d; both %d%n",
        RUNS, SEED, nothing, holdAlone, holdShortPauses, checksAlone, checksAndHold);
    assertThat(checksAlone).isZero();
    assertThat(checksAndHold).isZero();
    assertThat(holdShortPauses).isZero();
    assertThat(nothing).isPositive();
    assertThat(holdAlone).isLessThan(nothing);
  }
}
