package org.wigeonstage.system;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Judges a soak by what its callers and backend servers saw. */
final class SoakOracle {

  /** Requests that cross the end of their connection are not lost; from the operators' contract. */
  private static final long CROSSING_MILLIS = 200;

  /** Requests that were sent later than this after SIGTERM are to be ended in time. */
  private static final long LATE_IN_LEAVING_MILLIS = 3_000;

  /** The part of the grace after which work of backend servers may be cut off. */
  private static final double CUT_SHARE = 5.0 / 6;

  /** Ends that callers see so long after a process's end belong to it; from the same contract. */
  private static final long SEEN_LATE_MILLIS = 1_000;

  /** These answers promise that the request has not run. */
  private static final Set<Integer> REFUSALS = Set.of(408, 421, 429, 503);

  private final SoakPlan plan;
  private final Map<String, List<SoakServer.Run>> runs;
  private final List<Stop> stops;

  /**
   * A gateway's leaving.
   *
   * @param gateway its name
   * @param signalledAt when SIGTERM was sent, in milliseconds of the soak
   * @param endedAt when the process had ended
   * @param wasKilled whether it had to be killed at the end of its grace
   */
  record Stop(String gateway, long signalledAt, long endedAt, boolean wasKilled) {}

  /** A promise that was broken. */
  record Violation(String rule, String what) {
    @Override
    public String toString() {
      return rule + ": " + what;
    }
  }

  SoakOracle(SoakPlan plan, List<SoakServer.Run> runs, List<Stop> stops) {
    this.plan = plan;
    this.runs = runs.stream().collect(Collectors.groupingBy(run -> run.request));
    this.stops = List.copyOf(stops);
  }

  List<Violation> judge(List<SoakCall> calls) {
    List<Violation> found = new ArrayList<>();
    calls.forEach(call -> judge(call, found));
    runs.values().stream()
        .flatMap(List::stream)
        .filter(run -> run.end.equals("body changed"))
        .forEach(run -> found.add(new Violation("CHANGED", run.request + ", " + run)));
    if (!plan.hasFaults()) {
      stops.stream()
          .filter(Stop::wasKilled)
          .forEach(stop -> found.add(new Violation("NOT ENDED IN ITS GRACE", stop.toString())));
    }
    return found;
  }

  private void judge(SoakCall call, List<Violation> found) {
    if (call.end == SoakCall.End.WRONG) {
      found.add(violation("WRONG ANSWER", call));
    }
    if (REFUSALS.contains(call.status) && !runsOf(call).isEmpty()) {
      found.add(violation("REFUSED AND RUN", call));
    }
    if (!call.work.mayRunTwice() && runsOf(call).size() > 1) {
      found.add(violation("RUN TWICE", call));
    }
    if (!plan.hasFaults() && isLost(call)) {
      found.add(violation("LOST", call));
    }
    if (!plan.hasFaults() && call.end == SoakCall.End.GIVEN_UP) {
      found.add(violation("NEVER ANSWERED", call));
    }
  }

  private boolean isLost(SoakCall call) {
    if (call.end != SoakCall.End.BROKEN) {
      return false;
    }
    boolean wasPassedOn = !runsOf(call).isEmpty();
    boolean hadTime = call.endedAt - call.sentAt > CROSSING_MILLIS;
    return (wasPassedOn || hadTime) && !mayBeCut(call);
  }

  /** Returns whether the server was at work in the last part of the grace. */
  private boolean mayBeCut(SoakCall call) {
    return stops.stream()
        .filter(stop -> stop.gateway().equals(call.gateway))
        .anyMatch(
            stop -> {
              long cutAt = stop.signalledAt() + (long) (plan.graceSeconds() * 1000 * CUT_SHARE);
              return call.sentAt <= stop.signalledAt() + LATE_IN_LEAVING_MILLIS
                  && call.endedAt >= cutAt
                  && call.endedAt <= stop.endedAt() + SEEN_LATE_MILLIS
                  && runsOf(call).stream().anyMatch(run -> run.endedAt >= cutAt);
            });
  }

  private List<SoakServer.Run> runsOf(SoakCall call) {
    return runs.getOrDefault(call.id, List.of());
  }

  private Violation violation(String rule, SoakCall call) {
    String leaving =
        stops.stream()
            .filter(stop -> stop.gateway().equals(call.gateway))
            .filter(stop -> stop.signalledAt() <= call.endedAt && call.sentAt <= stop.endedAt())
            .map(stop -> "SIGTERM %d, ended %d ms".formatted(stop.signalledAt(), stop.endedAt()))
            .collect(Collectors.joining("; "));
    return new Violation(rule, call + " " + runsOf(call) + " " + leaving);
  }
}
