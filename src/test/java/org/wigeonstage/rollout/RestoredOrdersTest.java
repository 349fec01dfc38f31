package org.wigeonstage.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeonstage.fleet.StoreVersion;

class RestoredOrdersTest {

  private final RestoredOrders orders = new RestoredOrders();

  private static RolloutOrder order(String target, long era, long revision, RolloutState state) {
    StoreVersion version = new StoreVersion(era, revision);
    return new RolloutOrder("engines", "engines", target, Duration.ofSeconds(12), version, state);
  }

  private RestoredOrders.Result apply(double seconds, long era, RolloutOrder... listed) {
    return orders.apply(List.of(listed), era, Duration.ofMillis((long) (seconds * 1000)));
  }

  /** Guards against a version that was rolled back and gets requests again. */
  @Test
  void lostStateStaysUntilItIsWrittenAgain() {
    apply(0, 0, order("v2", 0, 9, RolloutState.ROLLED_BACK));
    RolloutOrder stored = order("v2", 1, 5, RolloutState.REQUESTED);
    for (int i = 1; i <= 9; i++) {
      RestoredOrders.Result result = apply(i, 1, stored);
      assertThat(result.orders()).containsExactly(stored.withState(RolloutState.ROLLED_BACK));
      assertThat(result.lostStates())
          .containsExactly(new RestoredOrders.LostState(stored, RolloutState.ROLLED_BACK));
    }
    RolloutOrder rewritten = order("v2", 1, 6, RolloutState.ROLLED_BACK);
    assertThat(apply(10, 1, rewritten).lostStates()).isEmpty();
    assertThat(apply(10, 1, rewritten).orders()).containsExactly(rewritten);
  }

  /** Guards against an order of the operator that is lost, or replaced by the one before it. */
  @Test
  void lostOrderStaysUntilItIsWrittenAgainOrForALimitedTime() {
    RolloutOrder known = order("v3", 0, 9, RolloutState.ACTIVE);
    RolloutOrder earlier = order("v2", 1, 5, RolloutState.COMPLETED);
    apply(0, 0, known);
    assertThat(apply(1, 1, earlier).orders()).containsExactly(known);
    assertThat(apply(2.4, 1, earlier).orders()).containsExactly(known);
    assertThat(apply(2.6, 1, earlier).orders()).containsExactly(earlier);
  }

  /** Guards against a new order that waits because the store was restored. */
  @Test
  void orderThatIsWrittenAfterTheFirstListCountsAtOnce() {
    apply(0, 0, order("v3", 0, 9, RolloutState.ACTIVE));
    apply(1, 1, order("v2", 1, 5, RolloutState.COMPLETED));
    RolloutOrder next = order("v4", 1, 6, RolloutState.REQUESTED);
    assertThat(apply(1.1, 1, next).orders()).containsExactly(next);
  }

  /** Guards against other behavior without restores. */
  @Test
  void listsOfOneEraAreUsedUnchanged() {
    apply(0, 0, order("v2", 0, 9, RolloutState.COMPLETED));
    RolloutOrder again = order("v2", 0, 11, RolloutState.REQUESTED);
    assertThat(apply(1, 0, again).orders()).containsExactly(again);
    assertThat(apply(1, 0, again).lostStates()).isEmpty();
    assertThat(apply(2, 0).orders()).isEmpty();
  }
}
