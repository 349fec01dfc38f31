package org.wigeonstage.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wigeonstage.handover.LoadReport;
import org.wigeonstage.request.HttpCall;
import org.wigeonstage.request.RequestCost;
import org.wigeonstage.request.RequestSpec;
import org.wigeonstage.request.Tier;

class RouterTest {

  private static List<AgentState> agents(int count) {
    List<AgentState> agents = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      agents.add(new AgentState("agent-" + i, "fd"));
    }
    return agents;
  }

  private static RequestSpec spec(long prefixHash) {
    HttpCall call = new HttpCall("POST", "/", null, new byte[0]);
    RequestCost cost = new RequestCost(4096, 100, prefixHash);
    return new RequestSpec("account", Tier.of(0), "pool", false, null, cost, call, null);
  }

  private static Router router(RoutingPolicy policy) {
    return policy.createRouter(new SplittableRandom(1));
  }

  @ParameterizedTest
  @EnumSource
  void choosesNothingWithoutCandidates(RoutingPolicy policy) {
    assertThat(router(policy).choose(spec(1), List.of())).isEmpty();
  }

  @Test
  void choosesSameIdleAgentForRequestsThatShareAPrefix() {
    Router router = router(RoutingPolicy.PREFIX_AFFINITY);
    List<AgentState> agents = agents(8);
    AgentState first = router.choose(spec(77), agents).orElseThrow();
    assertThat(router.choose(spec(77), agents)).contains(first);
  }

  @Test
  void choosesAnotherAgentWhenTheOneWithCachedPrefixIsOverloaded() {
    Router router = router(RoutingPolicy.PREFIX_AFFINITY);
    List<AgentState> agents = agents(8);
    AgentState first = router.choose(spec(77), agents).orElseThrow();
    first.applyLoadReport(new LoadReport(16, 16, 60, 100_000, 400, 3, Collections.nCopies(8, -60)));
    assertThat(router.choose(spec(77), agents)).isNotEqualTo(Optional.of(first));
  }

  @Test
  void leastOutstandingChoosesAgentWithFewestRequests() {
    List<AgentState> agents = agents(3);
    agents.get(0).recordOffer();
    agents.get(2).recordOffer();
    assertThat(router(RoutingPolicy.LEAST_OUTSTANDING).choose(spec(0), agents))
        .contains(agents.get(1));
  }
}
