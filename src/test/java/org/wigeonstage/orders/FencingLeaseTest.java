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

  private static FencingLease registeredLease(boolean serverChecksFencing, boolean hasPredecessor) {
    FencingLease lease = new FencingLease(serverChecksFencing);
    lease.markRegistered(Duration.ZERO, hasPredecessor);
    return lease;
  }

  @Test
  void leaseWithoutConfirmationIsNotValid() {
    assertThat(registeredLease(true, false).isValid(Duration.ZERO)).isFalse();
  }

  @Test
  void leaseEndsTenSecondsAfterConfirmingReadStarted() {
    FencingLease lease = registeredLease(true, false);
    lease.confirm(seconds(1));
    assertThat(lease.isValid(seconds(10.9))).isTrue();
    assertThat(lease.isValid(seconds(11))).isFalse();
  }

  @Test
  void successorWaitsIfServerDoesNotCheckFencing() {
    FencingLease lease = registeredLease(false, true);
    lease.confirm(seconds(14));
    assertThat(lease.isValid(seconds(14.9))).isFalse();
    assertThat(lease.isValid(seconds(15))).isTrue();
  }

  @Test
  void successorDoesNotWaitIfServerChecksFencing() {
    FencingLease lease = registeredLease(true, true);
    lease.confirm(Duration.ZERO);
    assertThat(lease.isValid(seconds(1))).isTrue();
  }

  @Test
  void revokedLeaseIsNotValid() {
    FencingLease lease = registeredLease(true, false);
    lease.confirm(Duration.ZERO);
    lease.revoke();
    assertThat(lease.isValid(seconds(1))).isFalse();
  }

  /** The guards against orders of a replaced agent that are enabled. */
  private record Guards(boolean lease, boolean serverChecksFencing) {}

  /** How long the replaced agent is suspended around the check of its lease, in seconds. */
  private record Suspensions(double beforeCheck, double afterCheck) {}

  private static int countStaleOrders(Guards guards, boolean longAfterCheck) {
    SplittableRandom random = new SplittableRandom(SEED);
    int staleOrders = 0;
    for (int run = 0; run < RUNS; run++) {
      double successorAt = random.nextDouble(60);
      double orderAt = random.nextDouble(60);
      // A suspension of less than 4 s is shorter than the takeover margin of 5 s.
      double afterCheck = random.nextDouble(longAfterCheck ? 60 : 4);
      Suspensions suspensions =
          new Suspensions(random.nextInt(2) * random.nextDouble(60), afterCheck);
      staleOrders += isStaleOrderExecuted(guards, successorAt, orderAt, suspensions) ? 1 : 0;
    }
    return staleOrders;
  }

  /**
   * Simulates an agent that confirms its lease every 5 s until it is suspended, and then sends an
   * order. Returns whether the order is executed after a successor has started to send orders.
   */
  private static boolean isStaleOrderExecuted(
      Guards guards, double successorAt, double orderAt, Suspensions suspensions) {
    FencingLease lease = registeredLease(guards.serverChecksFencing(), false);
    double lastConfirmationAt = Math.floor(Math.min(orderAt, successorAt) / 5) * 5;
    lease.confirm(seconds(lastConfirmationAt));
    double checkedAt = orderAt + suspensions.beforeCheck();
    if (guards.lease() && !lease.isValid(seconds(checkedAt))) {
      return false;
    }
    double sentAt = checkedAt + suspensions.afterCheck();
    boolean successorWaits = guards.lease() && !guards.serverChecksFencing();
    double successorDelay =
        successorWaits ? FencingLease.DURATION.plus(FencingLease.TAKEOVER_MARGIN).toSeconds() : 0;
    boolean isStale = sentAt > successorAt + successorDelay;
    return isStale && !guards.serverChecksFencing();
  }

  /**
   * Guards against models that are loaded or unloaded by an agent that has been replaced. The
   * simulation assumes that the fencing check of the backend server prevents all stale orders, and
   * so tests only the lease. The lease prevents them only if the agent is not suspended for longer
   * than the takeover margin between the check of its lease and the order. Without either, the
   * simulation must show stale orders, or it would prove nothing.
   */
  @Test
  void fencingCheckOrLeaseWithShortSuspensionsPreventsStaleOrders() {
    int fencingCheckAlone = countStaleOrders(new Guards(false, true), true);
    int fencingCheckAndLease = countStaleOrders(new Guards(true, true), true);
    int noGuard = countStaleOrders(new Guards(false, false), true);
    int leaseAlone = countStaleOrders(new Guards(true, false), true);
    int leaseShortSuspensions = countStaleOrders(new Guards(true, false), false);
    System.out.printf(
        "stale orders in %d runs, seed %d: no guard %d; lease alone %d, with suspensions of at most"
            + " 4 s after the check %d; fencing check alone %d; both %d%n",
        RUNS,
        SEED,
        noGuard,
        leaseAlone,
        leaseShortSuspensions,
        fencingCheckAlone,
        fencingCheckAndLease);
    assertThat(fencingCheckAlone).isZero();
    assertThat(fencingCheckAndLease).isZero();
    assertThat(leaseShortSuspensions).isZero();
    assertThat(noGuard).isPositive();
    assertThat(leaseAlone).isLessThan(noGuard);
  }
}
