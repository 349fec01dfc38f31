package org.wigeonstage.orders;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

class OrderPlannerTest {

  @Test
  void plansUnloadsBeforeLoads() {
    assertThat(OrderPlanner.plan(Set.of("a", "b"), Set.of("b", "c")))
        .containsExactly(new Order(Order.Action.UNLOAD, "c"), new Order(Order.Action.LOAD, "a"));
  }

  @Test
  void plansNoOrdersIfDesiredTargetsAreLoaded() {
    assertThat(OrderPlanner.plan(Set.of("a"), Set.of("a"))).isEmpty();
  }
}
