package org.wigeonstage.system;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Finds violated guarantees in the observations of callers and backend servers. */
final class SoakOracle {

  /**
   * Requests sent at most this long before the close of their connection may stay unread and do not
   * count as lost, according to the operations contract.
   */
  private static final long MAX_CLOSE_RACE_MILLIS = 200;

  /** Requests sent later than this after SIGTERM must complete before the gateway exits. */
  private static final long LATE_REQUEST_MILLIS = 3_000;

  /** Share of the grace period after which the gateway may abort requests that are running. */
  private static final double ABORT_AFTER_GRACE_SHARE = 5.0 / 6;

  /**
   * Maximum time from the exit of a process until a caller detects the close of its connection,
   * according to the operations contract.
   */
  private static final long MAX_CLOSE_DETECTION_MILLIS = 1_000;

  /** Statuses which guarantee that the request has not run. */
  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

  private final SoakPlan plan;
  private final Map<String, List<SoakServer.Run>> runsByRequest;
  private final List<GatewayShutdown> shutdowns;

  /**
   * The shutdown of a gateway. Times are in milliseconds since the start of the soak test.
   *
   * @param gateway the name of the gateway
   * @param signalledAtMillis when SIGTERM was sent
   * @param exitedAtMillis when the exit of the process was detected
   * @param wasKilled whether the process was killed at the end of its grace period
   */
  record GatewayShutdown(
      String gateway, long signalledAtMillis, long exitedAtMillis, boolean wasKilled) {}

  /** A violated guarantee. */
  record Violation(String rule, String detail) {
    @Override
    public String toString() {
      return rule + ": " + detail;
    }
  }

  SoakOracle(SoakPlan plan, List<SoakServer.Run> runs, List<GatewayShutdown> shutdowns) {
    this.plan = plan;
    this.runsByRequest = runs.stream().collect(Collectors.groupingBy(run -> run.requestId));
    this.shutdowns = List.copyOf(shutdowns);
  }

  List<Violation> findViolations(List<SoakCall> calls) {
    List<Violation> violations = new ArrayList<>();
    calls.forEach(call -> check(call, violations));
    runsByRequest.values().stream()
        .flatMap(List::stream)
        .filter(run -> run.result.equals("body changed"))
        .forEach(
            run ->
                violations.add(new Violation("REQUEST BODY CHANGED", run.requestId + ", " + run)));
    if (!plan.hasFaults()) {
      shutdowns.stream()
          .filter(GatewayShutdown::wasKilled)
          .forEach(
              shutdown ->
                  violations.add(
                      new Violation("NOT STOPPED WITHIN GRACE PERIOD", shutdown.toString())));
    }
    return violations;
  }

  private void check(SoakCall call, List<Violation> violations) {
    if (call.result == SoakCall.Result.INVALID) {
      violations.add(violation("INVALID RESPONSE", call));
    }
    if (NOT_RUN_STATUSES.contains(call.status) && !runsOf(call).isEmpty()) {
      violations.add(violation("REJECTED BUT RUN", call));
    }
    if (!call.request.mayRunTwice() && runsOf(call).size() > 1) {
      violations.add(violation("RUN TWICE", call));
    }
    if (!plan.hasFaults() && isLost(call)) {
      violations.add(violation("LOST", call));
    }
    if (!plan.hasFaults() && call.result == SoakCall.Result.TIMED_OUT) {
      violations.add(violation("NO RESPONSE", call));
    }
  }

  private boolean isLost(SoakCall call) {
    if (call.result != SoakCall.Result.CONNECTION_LOST) {
      return false;
    }
    boolean wasForwarded = !runsOf(call).isEmpty();
    boolean hadTimeToBeRead = call.endedAtMillis - call.sentAtMillis > MAX_CLOSE_RACE_MILLIS;
    return (wasForwarded || hadTimeToBeRead) && !mayBeAborted(call);
  }

  /**
   * Returns whether the gateway was allowed to abort the request: it was sent early enough, and the
   * backend server was still running it in the last part of the grace period.
   */
  private boolean mayBeAborted(SoakCall call) {
    return shutdowns.stream()
        .filter(shutdown -> shutdown.gateway().equals(call.gateway))
        .anyMatch(
            shutdown -> {
              long abortAllowedAtMillis =
                  shutdown.signalledAtMillis()
                      + (long) (plan.graceSeconds() * 1000 * ABORT_AFTER_GRACE_SHARE);
              return call.sentAtMillis <= shutdown.signalledAtMillis() + LATE_REQUEST_MILLIS
                  && call.endedAtMillis >= abortAllowedAtMillis
                  && call.endedAtMillis <= shutdown.exitedAtMillis() + MAX_CLOSE_DETECTION_MILLIS
                  && runsOf(call).stream()
                      .anyMatch(run -> run.endedAtMillis >= abortAllowedAtMillis);
            });
  }

  private List<SoakServer.Run> runsOf(SoakCall call) {
    return runsByRequest.getOrDefault(call.id, List.of());
  }

  private Violation violation(String rule, SoakCall call) {
    String shutdownTimes =
        shutdowns.stream()
            .filter(shutdown -> shutdown.gateway().equals(call.gateway))
            .filter(
                shutdown ->
                    shutdown.signalledAtMillis() <= call.endedAtMillis
                        && call.sentAtMillis <= shutdown.exitedAtMillis())
            .map(
                shutdown ->
                    "SIGTERM at %d ms, exited at %d ms"
                        .formatted(shutdown.signalledAtMillis(), shutdown.exitedAtMillis()))
            .collect(Collectors.joining("; "));
    return new Violation(rule, call + " " + runsOf(call) + " " + shutdownTimes);
  }
}
