package org.wigeonstage.system;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeonstage.system.SoakOracle.Stop;

/** Each promise that the oracle checks, broken by hand, and what it lets pass. */
class SoakOracleTest {

  /** A grace of 6 s, whose last sixth begins 5 s after the signal. */
  private static final SoakPlan PLAN = SoakPlan.leaving(1, 0, 6);

  private final List<SoakServer.Run> runs = new ArrayList<>();
  private final List<Stop> stops = new ArrayList<>();

  @Test
  void findsARequestThatWasPassedOnAndNotAnswered() {
    run("a", 1010, 1050);
    assertThat(rules(broken("a", 1000, 1100))).containsExactly("LOST");
  }

  @Test
  void findsARequestThatHadTimeToBeReadAndWasNot() {
    assertThat(rules(broken("a", 1000, 1201))).containsExactly("LOST");
  }

  @Test
  void letsARequestCrossTheEndOfItsConnection() {
    assertThat(rules(broken("a", 1000, 1200))).isEmpty();
  }

  @Test
  void letsWorkBeCutInTheLastSixthOfTheGrace() {
    stops.add(new Stop("gateway-1", 2000, 7900, false));
    run("a", 1010, 7500);
    assertThat(rules(broken("a", 1000, 7500))).isEmpty();
  }

  @Test
  void findsWorkThatWasCutEarlierInTheGrace() {
    stops.add(new Stop("gateway-1", 2000, 7900, false));
    run("a", 1010, 8000);
    assertThat(rules(broken("a", 1000, 6900))).containsExactly("LOST");
  }

  @Test
  void findsAnAnswerThatWasCutAfterItsServerHadFinished() {
    stops.add(new Stop("gateway-1", 2000, 7900, false));
    run("a", 1010, 6000);
    assertThat(rules(broken("a", 1000, 7500))).containsExactly("LOST");
  }

  @Test
  void findsCutWorkThatWasTakenLateInTheGrace() {
    stops.add(new Stop("gateway-1", 2000, 7900, false));
    run("a", 5010, 7500);
    assertThat(rules(broken("a", 5001, 7500))).containsExactly("LOST");
  }

  @Test
  void findsCutWorkOfAnotherGateway() {
    stops.add(new Stop("gateway-2", 2000, 7900, false));
    run("a", 1010, 7500);
    assertThat(rules(broken("a", 1000, 7500))).containsExactly("LOST");
  }

  @Test
  void findsARefusedRequestThatHasRun() {
    run("a", 1010, 1050);
    for (int status : new int[] {408, 421, 429, 503}) {
      assertThat(rules(answered("a", status))).containsExactly("REFUSED AND RUN");
    }
    assertThat(rules(answered("a", 502))).isEmpty();
  }

  @Test
  void findsARequestThatRanTwice() {
    run("a", 1010, 1050);
    run("a", 1060, 1090);
    assertThat(rules(answered("a", 200))).containsExactly("RUN TWICE");
  }

  @Test
  void findsAProcessThatHadToBeKilled() {
    stops.add(new Stop("gateway-1", 2000, 8010, true));
    assertThat(rules(answered("a", 200))).containsExactly("NOT ENDED IN ITS GRACE");
  }

  private void run(String request, long beganAt, long endedAt) {
    SoakServer.Run run = new SoakServer.Run(request, "server-1", 1, beganAt);
    run.end(endedAt, "answered");
    runs.add(run);
  }

  private static SoakCall call(String id) {
    return new SoakCall(id, "gateway-1", "first", 1, SoakWork.plain(0, 10));
  }

  private static SoakCall broken(String id, long sentAt, long endedAt) {
    SoakCall call = call(id);
    call.sentAt = sentAt;
    call.end(SoakCall.End.BROKEN, endedAt, "");
    return call;
  }

  private static SoakCall answered(String id, int status) {
    SoakCall call = call(id);
    call.sentAt = 1000;
    call.status = status;
    call.end(SoakCall.End.WHOLE, 1100, "");
    return call;
  }

  private List<String> rules(SoakCall call) {
    return new SoakOracle(PLAN, runs, stops)
        .judge(List.of(call)).stream().map(SoakOracle.Violation::rule).toList();
  }
}
