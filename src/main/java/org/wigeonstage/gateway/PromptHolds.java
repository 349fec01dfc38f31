package org.wigeonstage.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.crash.CrashReport;
import org.wigeonstage.crash.HoldListener;
import org.wigeonstage.crash.PartHold;
import org.wigeonstage.crash.PromptAdmission;
import org.wigeonstage.crash.PromptGuard;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.telemetry.DecisionLog;

/**
 * Reports the ends of attempts to the {@link PromptGuard}, and its decisions to the log and the
 * metrics. Guarded by the lock of {@link GatewayCore}.
 */
final class PromptHolds implements HoldListener {

  /** The source of crashes that this gateway has observed itself. */
  private static final String OWN = "own";

  /** A line names at most this many parts or crashes, and a change has at most as many lines. */
  private static final int MAX_LOGGED = 16;

  private final MonotonicClock clock;
  private final MetricRegistry metrics;
  private final Runnable onHeld;
  private final PromptGuard guard = new PromptGuard(this);
  private volatile int holdCount;

  /** What the guard has changed since {@link #updated} was last called. */
  private int changeCount;

  private boolean hasNewHolds;

  /**
   * Creates an object without holds.
   *
   * @param onHeld run when requests begin to be held
   */
  PromptHolds(MonotonicClock clock, MetricRegistry metrics, Runnable onHeld) {
    this.clock = clock;
    this.metrics = metrics;
    this.onHeld = onHeld;
    metrics.register("prompts.holds", (Gauge<Integer>) () -> holdCount);
  }

  /** Decides whether a request may be sent to a server. */
  PromptAdmission decide(ForwardedRequest request) {
    PromptAdmission admission =
        guard.decide(request.sharedPromptParts(), request.poolName(), clock.elapsed());
    if (admission.kind() == PromptAdmission.Kind.TRIAL) {
      metrics.counter("prompts.trials").inc();
      DecisionLog.write(
          "prompt-trial", "request", request.log().requestId(), "parts", text(admission.parts()));
    } else if (admission.kind() == PromptAdmission.Kind.HELD) {
      metrics.counter("prompts.refused").inc();
    }
    return admission;
  }

  /** Records that the connection of a request was lost at the beginning of its response. */
  void recordLoss(ForwardedRequest request, BackendServer server) {
    boolean isNew =
        guard.recordLoss(
            server.runId(),
            server.pool(),
            request.sharedPromptParts(),
            request.isTrial(),
            clock.elapsed());
    if (isNew) {
      recordCrash(server.runId(), OWN, request.sharedPromptParts());
    }
  }

  private void recordCrash(String crashId, String source, List<String> parts) {
    metrics.counter("crashes.suspected").inc();
    DecisionLog.write("crash-suspected", "crash", crashId, "source", source, "parts", text(parts));
  }

  /** Records that a server has continued a response past its beginning, or completed it. */
  void recordResponse(ForwardedRequest request, BackendServer server) {
    guard.recordResponse(request.sharedPromptParts(), server.pool(), clock.elapsed());
  }

  /**
   * Records that something was received from a server.
   *
   * @param sentAt when the request to which the server responds was sent
   */
  void recordSignOfLife(BackendServer server, Duration sentAt) {
    if (guard.hasCrashes() && guard.recordSignOfLife(server.runId(), sentAt, clock.elapsed())) {
      metrics.counter("crashes.refuted").inc();
      DecisionLog.write("crash-refuted", "crash", server.runId());
    }
  }

  void applyReport(CrashReport report, String peer) {
    List<String> parts = report.victims().stream().flatMap(List::stream).distinct().toList();
    guard
        .applyReports(List.of(report), clock.elapsed())
        .forEach(crashId -> recordCrash(crashId, peer, parts));
  }

  List<CrashReport> takeOwnChanges() {
    return guard.takeOwnChanges(clock.elapsed());
  }

  List<CrashReport> fullReports() {
    return guard.fullReports(clock.elapsed());
  }

  void setOwnTurn(Predicate<String> isOwnTurn) {
    guard.setOwnTurn(isOwnTurn);
  }

  /** Applies the parts that operators hold or release. */
  void applyOverrides(Set<String> held, Set<String> released) {
    guard.applyOverrides(held, released, clock.elapsed());
    holdCount = guard.holdCount();
    onHeld.run();
  }

  void tick() {
    guard.tick(clock.elapsed());
  }

  @Override
  public void held(PartHold hold) {
    hasNewHolds = true;
    if (changeCount++ < MAX_LOGGED) {
      DecisionLog.write(
          "prompt-held",
          "parts",
          text(hold.parts()),
          "pools",
          text(hold.pools()),
          "crashes",
          text(hold.crashIds()),
          "occasions",
          hold.occasions(),
          "failedTrials",
          hold.failedTrials());
    }
  }

  @Override
  public void released(Set<String> parts) {
    if (changeCount++ < MAX_LOGGED) {
      DecisionLog.write("prompt-released", "parts", text(parts));
    }
  }

  @Override
  public void updated() {
    holdCount = guard.holdCount();
    if (changeCount > MAX_LOGGED) {
      DecisionLog.write("prompt-holds-changed", "notLogged", changeCount - MAX_LOGGED);
    }
    boolean mustCheckRequests = hasNewHolds;
    changeCount = 0;
    hasNewHolds = false;
    if (mustCheckRequests) {
      onHeld.run();
    }
  }

  /** Returns the first texts, separated by commas. */
  static String text(List<String> texts) {
    return String.join(",", texts.subList(0, Math.min(texts.size(), MAX_LOGGED)));
  }

  static String text(Set<String> texts) {
    return text(texts.stream().sorted().toList());
  }
}
