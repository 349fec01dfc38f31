package org.wigeonstage.rollout;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.settings.RolloutSettings;

/**
 * Applies the latest order for a pool at one gateway, with the steps of the elected gateway.
 *
 * <p>A gateway that hears no directive sends nothing to the target version. Once it has promised to
 * send nothing to other versions ({@link RolloutReport#hasLeftOthers}), it returns to them only
 * after the order was rolled back or replaced in the store. Not thread-safe.
 */
public final class RolloutParticipant {

  /** Directives are sent every 200 ms at most; after this time without one the share is 0. */
  private static final Duration DIRECTIVE_VALIDITY = Duration.ofSeconds(1);

  private final RolloutSettings settings;
  private final VersionFilter filter;
  private final Set<String> excluded = new HashSet<>();
  private @Nullable RolloutOrder order;
  private EvidenceRecorder evidence = new EvidenceRecorder("");
  private Duration startedAt = Duration.ZERO;
  private Duration directiveAt = Duration.ZERO;
  private RolloutStep step = RolloutStep.NONE;
  private boolean hasLeftOthers;

  /**
   * Creates a participant without an order.
   *
   * @param settings the limits of roll-outs
   * @param filter the filter of the pool
   */
  public RolloutParticipant(RolloutSettings settings, VersionFilter filter) {
    this.settings = settings;
    this.filter = filter;
  }

  /**
   * Returns the latest order.
   *
   * @return the order, or empty if there is none
   */
  public Optional<RolloutOrder> order() {
    return Optional.ofNullable(order);
  }

  /**
   * Returns when the open order was known first, here or at another gateway.
   *
   * @return the time
   */
  public Duration startedAt() {
    return startedAt;
  }

  /**
   * Returns the filter of the pool.
   *
   * @return the filter
   */
  public VersionFilter filter() {
    return filter;
  }

  /**
   * Applies an order, unless a later revision is known.
   *
   * @param newOrder the order
   * @param now the current time
   * @return whether it is later than the known one
   */
  public boolean applyOrder(RolloutOrder newOrder, Duration now) {
    RolloutOrder previous = order;
    if (previous != null && !newOrder.version().isAfter(previous.version())) {
      return false;
    }
    order = newOrder;
    boolean isContinued =
        previous != null
            && previous.isOpen()
            && newOrder.isOpen()
            && newOrder.hasSameTarget(previous);
    if (!isContinued) {
      hasLeftOthers = false;
      step = RolloutStep.NONE;
    }
    if (newOrder.isOpen() && !isContinued) {
      startedAt = now;
      evidence = new EvidenceRecorder(newOrder.target());
      if (previous != null && previous.state() != RolloutState.COMPLETED) {
        // Nothing shows that the version of an unfinished order is sound.
        excluded.add(previous.target());
      }
      excluded.remove(newOrder.target());
    }
    return true;
  }

  /** Records that the order was removed from the store, so that all servers may be used. */
  public void removeOrder() {
    order = null;
    hasLeftOthers = false;
    step = RolloutStep.NONE;
  }

  /**
   * Applies a directive of the elected gateway, unless a later revision of the order is known.
   *
   * @param directive the directive
   * @param now the current time
   * @return whether its order was not known
   */
  public boolean applyDirective(RolloutDirective directive, Duration now) {
    boolean isNew = applyOrder(directive.order(), now);
    RolloutOrder current = order;
    if (current == null || current.version().isAfter(directive.order().version())) {
      return isNew;
    }
    adoptAge(directive.age(), now);
    directiveAt = now;
    if (current.isOpen()) {
      step = directive.step();
      hasLeftOthers |= step == RolloutStep.FULL;
    }
    return isNew;
  }

  /**
   * Adopts the time since another gateway has known the order, if that is longer.
   *
   * @param age the time
   * @param now the current time
   */
  public void adoptAge(Duration age, Duration now) {
    if (now.minus(age).compareTo(startedAt) < 0) {
      startedAt = now.minus(age);
    }
  }

  /**
   * Updates the filter. To be called periodically, and after an order or directive.
   *
   * @param initialCredit the number of requests that the target version may get at once
   * @param now the current time
   */
  public void update(double initialCredit, Duration now) {
    filter.apply(rule(now), initialCredit);
  }

  private VersionRule rule(Duration now) {
    RolloutOrder current = order;
    if (current == null) {
      return VersionRule.OPEN;
    }
    VersionRule.Mode mode =
        switch (current.state()) {
          case COMPLETED -> VersionRule.Mode.TARGET_ONLY;
          case ROLLED_BACK -> VersionRule.Mode.NO_TARGET;
          default -> hasLeftOthers ? VersionRule.Mode.TARGET_ONLY : VersionRule.Mode.SHARE;
        };
    boolean isDirected = now.minus(directiveAt).compareTo(DIRECTIVE_VALIDITY) <= 0;
    double share = isDirected ? step.share(settings) : 0;
    return new VersionRule(mode, current.target(), share, excluded);
  }

  /**
   * Records the result of a request while an order is open.
   *
   * @param route the route of the request
   * @param server the server
   * @param isFailure whether the response is a failure
   * @param firstPart the time to the first part
   * @param duration the time to the end of the response
   */
  public void recordResponse(
      String route,
      BackendServer server,
      boolean isFailure,
      Duration firstPart,
      Duration duration) {
    if (order == null || !order.isOpen()) {
      return;
    }
    if (isFailure) {
      evidence.recordFailure(route, server);
    } else {
      evidence.recordResponse(route, server, firstPart, duration);
    }
  }

  /**
   * Returns the next report to the elected gateway.
   *
   * @param runningByServer the numbers of running requests by server
   * @param isFirst whether the elected gateway lacks the previous reports
   * @param now the current time
   * @return the report, or empty if no order is open
   */
  public Optional<RolloutReport> report(
      Map<String, Integer> runningByServer, boolean isFirst, Duration now) {
    return order()
        .filter(RolloutOrder::isOpen)
        .map(
            current ->
                new RolloutReport(
                    current,
                    now.minus(startedAt),
                    hasLeftOthers,
                    filter.countAtOthers(runningByServer),
                    evidence.takeCounts(isFirst)));
  }
}
