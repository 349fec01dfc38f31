package org.wigeonstage.system;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeonstage.system.SoakOracle.GatewayShutdown;

/** Tests which observations the oracle reports as violations and which it accepts. */
class SoakOracleTest {

  /** The grace period is 6 s; its last sixth starts 5 s after SIGTERM. */
  private static final SoakPlan PLAN = SoakPlan.singleShutdown(1, 0, 6);

  private final List<SoakServer.Run> runs = new ArrayList<>();
  private final List<GatewayShutdown> shutdowns = new ArrayList<>();

  @Test
  void reportsLostRequestThatWasForwarded() {
    addRun("a", 1010, 1050);
    assertThat(violatedRules(connectionLost("a", 1000, 1100))).containsExactly("LOST");
  }

  @Test
  void reportsLostRequestThatHadTimeToBeRead() {
    assertThat(violatedRules(connectionLost("a", 1000, 1201))).containsExactly("LOST");
  }

  @Test
  void acceptsRequestSentWhileItsConnectionCloses() {
    assertThat(violatedRules(connectionLost("a", 1000, 1200))).isEmpty();
  }

  @Test
  void acceptsAbortedRequestInTheLastSixthOfTheGracePeriod() {
    shutdowns.add(new GatewayShutdown("gateway-1", 2000, 7900, false));
    addRun("a", 1010, 7500);
    assertThat(violatedRules(connectionLost("a", 1000, 7500))).isEmpty();
  }

  @Test
  void reportsRequestAbortedEarlierInTheGracePeriod() {
    shutdowns.add(new GatewayShutdown("gateway-1", 2000, 7900, false));
    addRun("a", 1010, 8000);
    assertThat(violatedRules(connectionLost("a", 1000, 6900))).containsExactly("LOST");
  }

  @Test
  void reportsResponseTruncatedAfterItsServerHadFinished() {
    shutdowns.add(new GatewayShutdown("gateway-1", 2000, 7900, false));
    addRun("a", 1010, 6000);
    assertThat(violatedRules(connectionLost("a", 1000, 7500))).containsExactly("LOST");
  }

  @Test
  void reportsAbortedRequestThatWasSentLateInTheShutdown() {
    shutdowns.add(new GatewayShutdown("gateway-1", 2000, 7900, false));
    addRun("a", 5010, 7500);
    assertThat(violatedRules(connectionLost("a", 5001, 7500))).containsExactly("LOST");
  }

  @Test
  void reportsAbortedRequestWhenOnlyAnotherGatewayShutsDown() {
    shutdowns.add(new GatewayShutdown("gateway-2", 2000, 7900, false));
    addRun("a", 1010, 7500);
    assertThat(violatedRules(connectionLost("a", 1000, 7500))).containsExactly("LOST");
  }

  @Test
  void reportsRejectedRequestThatHasRun() {
    addRun("a", 1010, 1050);
    for (int status : new int[] {408, 421, 429, 503}) {
      assertThat(violatedRules(completed("a", status))).containsExactly("REJECTED BUT RUN");
    }
    assertThat(violatedRules(completed("a", 502))).isEmpty();
  }

  @Test
  void reportsNonIdempotentRequestThatRanTwice() {
    addRun("a", 1010, 1050);
    addRun("a", 1060, 1090);
    assertThat(violatedRules(completed("a", 200))).containsExactly("RUN TWICE");
  }

  @Test
  void reportsGatewayKilledAtTheEndOfItsGracePeriod() {
    shutdowns.add(new GatewayShutdown("gateway-1", 2000, 8010, true));
    assertThat(violatedRules(completed("a", 200)))
        .containsExactly("NOT STOPPED WITHIN GRACE PERIOD");
  }

  private void addRun(String requestId, long startedAtMillis, long endedAtMillis) {
    SoakServer.Run run = new SoakServer.Run(requestId, "server-1", 1, startedAtMillis);
    run.finish(endedAtMillis, "completed");
    runs.add(run);
  }

  private static SoakCall call(String id) {
    return new SoakCall(id, "gateway-1", "first", 1, SoakRequest.plain(0, 10));
  }

  private static SoakCall connectionLost(String id, long sentAtMillis, long endedAtMillis) {
    SoakCall call = call(id);
    call.sentAtMillis = sentAtMillis;
    call.finish(SoakCall.Result.CONNECTION_LOST, endedAtMillis, "");
    return call;
  }

  private static SoakCall completed(String id, int status) {
    SoakCall call = call(id);
    call.sentAtMillis = 1000;
    call.status = status;
    call.finish(SoakCall.Result.COMPLETE, 1100, "");
    return call;
  }

  private List<String> violatedRules(SoakCall call) {
    return new SoakOracle(PLAN, runs, shutdowns)
        .findViolations(List.of(call)).stream().map(SoakOracle.Violation::rule).toList();
  }
}
