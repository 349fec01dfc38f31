package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.handover.Message;
import org.wigeonstage.placement.PoolScheduler;
import org.wigeonstage.rollout.RolloutDecider;
import org.wigeonstage.rollout.RolloutDecision;
import org.wigeonstage.rollout.RolloutDirective;
import org.wigeonstage.rollout.RolloutOrder;
import org.wigeonstage.rollout.RolloutParticipant;
import org.wigeonstage.rollout.RolloutReport;
import org.wigeonstage.rollout.RolloutStep;
import org.wigeonstage.rollout.VersionFilter;
import org.wigeonstage.routing.RendezvousHash;
import org.wigeonstage.settings.RolloutSettings;
import org.wigeonstage.telemetry.DecisionLog;
import org.wigeonstage.wire.Link;

/**
 * The roll-out of one pool at this gateway, which may be the elected one: the first choice, for the
 * pool, among the gateways that this one is connected to. Guarded by the lock of {@link
 * GatewayCore}.
 */
final class PoolRollout {

  private static final Duration EXCHANGE_INTERVAL = Duration.ofMillis(100);

  /**
   * Interval between complete reports, because the peer may not have known yet that it is elected.
   */
  private static final Duration COMPLETE_REPORT_INTERVAL = Duration.ofSeconds(2);

  /** Interval between directives that repeat the step. */
  private static final Duration DIRECTIVE_INTERVAL = Duration.ofMillis(200);

  /** The part of the slack that is spent on early evidence; the rest covers late directives. */
  private static final double CREDIT_PART = 0.4;

  private static final double MAX_CREDIT = 5;

  private final String pool;
  private final RolloutSettings settings;
  private final Rollouts.RolloutWriter writer;
  private final VersionFilter filter = new VersionFilter();
  private final RolloutParticipant participant;
  private @Nullable PoolScheduler scheduler;
  private @Nullable RolloutDecider decider;

  /** The link to the elected gateway that has received all evidence, or null. */
  private @Nullable Link reportedLink;

  private Duration completeReportAt = Duration.ZERO;
  private RolloutStep loggedStep = RolloutStep.NONE;
  private @Nullable RolloutDirective lastDirective;
  private double initialCredit;
  private Duration directedAt = Duration.ZERO;
  private Duration exchangedAt = Duration.ZERO;

  PoolRollout(String pool, RolloutSettings settings, Rollouts.RolloutWriter writer) {
    this.pool = pool;
    this.settings = settings;
    this.writer = writer;
    this.participant = new RolloutParticipant(settings, filter);
  }

  void attach(PoolScheduler newScheduler) {
    scheduler = newScheduler;
    newScheduler.setVersionFilter(filter);
  }

  boolean isOpen() {
    return participant.order().map(RolloutOrder::isOpen).orElse(false);
  }

  void recordArrival() {
    filter.recordArrival();
  }

  /** Records a response; returns whether its server has the target version. */
  boolean recordResponse(
      String route,
      BackendServer server,
      boolean isFailure,
      Duration firstPart,
      Duration duration) {
    participant.recordResponse(route, server, isFailure, firstPart, duration);
    return participant.order().map(RolloutOrder::target).orElse("").equals(server.version());
  }

  void applyOrder(RolloutOrder order, String source, Duration now) {
    if (participant.applyOrder(order, now)) {
      logOrder(order, source);
      // Requests are placed before the next tick.
      participant.update(initialCredit, now);
    }
  }

  private void logOrder(RolloutOrder order, String source) {
    DecisionLog.write(
        "rollout-order",
        "pool",
        pool,
        "target",
        order.target(),
        "revision",
        order.version().revision(),
        "state",
        order.state().name(),
        "durationMillis",
        order.duration().toMillis(),
        "source",
        source);
  }

  void removeOrder() {
    if (participant.order().isPresent()) {
      participant.removeOrder();
      DecisionLog.write("rollout-order-removed", "pool", pool);
    }
  }

  void applyReport(String gateway, RolloutReport report, Duration now) {
    applyOrder(report.order(), gateway, now);
    participant
        .order()
        .filter(order -> order.isOpen() && order.hasSameTarget(report.order()))
        .ifPresent(order -> participant.adoptAge(report.age(), now));
    RolloutDecider current = decider;
    if (current != null) {
      current.applyReport(gateway, report, now);
    }
  }

  void applyDirective(RolloutDirective directive, Duration now) {
    if (participant.applyDirective(directive, now)) {
      logOrder(directive.order(), "peer");
    }
    participant.update(initialCredit, now);
  }

  void writeEnded(RolloutOrder current, Duration now) {
    applyOrder(current, "write", now);
    if (decider != null) {
      decider.writeEnded();
    }
    exchangedAt = Duration.ZERO;
  }

  void writeFailed(Duration now) {
    if (decider != null) {
      decider.writeFailed(now);
    }
  }

  void tick(RolloutLinks links, Duration now) {
    RolloutOrder order = participant.order().orElse(null);
    if (order == null) {
      participant.update(initialCredit, now);
      return;
    }
    if (now.minus(exchangedAt).compareTo(EXCHANGE_INTERVAL) >= 0) {
      exchangedAt = now;
      if (order.isOpen()) {
        exchange(order, links, now);
      } else if (decider != null) {
        decider = null;
        links.sendToAll(
            new Message.RolloutCommand(new RolloutDirective(order, RolloutStep.NONE, age(now))));
      }
    }
    initialCredit = initialCredit(links);
    participant.update(initialCredit, now);
  }

  private Duration age(Duration now) {
    return now.minus(participant.startedAt());
  }

  /** Returns the requests that the target version may get at once, if most peers are heard. */
  private double initialCredit(RolloutLinks links) {
    int running = links.running().size();
    boolean hearsMost = links.connected().size() * 2 > running;
    return hearsMost ? Math.min(MAX_CREDIT, settings.slack() * CREDIT_PART / running) : 0;
  }

  private void exchange(RolloutOrder order, RolloutLinks links, Duration now) {
    String elected = RendezvousHash.firstChoice(pool, links.connected()).orElse(links.ownName());
    if (elected.equals(links.ownName())) {
      decide(order, links, now);
      return;
    }
    decider = null;
    Link link = links.link(elected);
    if (link != null) {
      boolean isComplete = link != reportedLink || now.compareTo(completeReportAt) >= 0;
      participant
          .report(running(), isComplete, now)
          .ifPresent(report -> link.send(new Message.RolloutStatus(report)));
      reportedLink = link;
      completeReportAt = isComplete ? now.plus(COMPLETE_REPORT_INTERVAL) : completeReportAt;
    }
  }

  private Map<String, Integer> running() {
    return scheduler == null ? Map.of() : scheduler.runningByServer();
  }

  private void decide(RolloutOrder order, RolloutLinks links, Duration now) {
    RolloutDecider current = decider;
    boolean isNew = current == null || !current.order().hasSameTarget(order);
    if (current == null || isNew) {
      current = new RolloutDecider(order, settings.rollbackDelay(), participant.startedAt());
      decider = current;
      reportedLink = null;
      loggedStep = RolloutStep.NONE;
    }
    current.applyOrder(order);
    RolloutReport own = participant.report(running(), isNew, now).orElse(null);
    if (own != null) {
      current.applyReport(links.ownName(), own, now);
    }
    Set<String> gateways = links.running();
    RolloutDecision decision = current.decide(gateways, filter.countServers(order.target()), now);
    logDecision(order, decision, now);
    direct(new RolloutDirective(order, decision.step(), age(now)), links, now);
    decision.write().ifPresent(state -> writer.write(order, state));
  }

  private void logDecision(RolloutOrder order, RolloutDecision decision, Duration now) {
    if (decision.step() != loggedStep || decision.write().isPresent()) {
      loggedStep = decision.step();
      DecisionLog.write(
          "rollout-step",
          "pool",
          pool,
          "target",
          order.target(),
          "step",
          decision.step().name(),
          "write",
          decision.write().map(Enum::name).orElse(""),
          "reason",
          decision.reason(),
          "ageMillis",
          age(now).toMillis());
    }
  }

  private void direct(RolloutDirective directive, RolloutLinks links, Duration now) {
    participant.applyDirective(directive, now);
    RolloutDirective last = lastDirective;
    boolean isChanged =
        last == null || last.step() != directive.step() || !last.order().equals(directive.order());
    if (isChanged || now.minus(directedAt).compareTo(DIRECTIVE_INTERVAL) >= 0) {
      lastDirective = directive;
      directedAt = now;
      links.sendToAll(new Message.RolloutCommand(directive));
    }
  }
}
