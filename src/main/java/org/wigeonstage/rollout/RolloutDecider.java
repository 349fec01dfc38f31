package org.wigeonstage.rollout;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides about an open order at the elected gateway: its step, and the states to be written.
 *
 * <p>Designed for versions that are faulty from the start, later, under load or on one route. The
 * target version is observed at a share that a faulty version may get for nearly half of the time
 * that the order allows; then all traffic is shifted within a short time, so that the other servers
 * have the rest of it to finish what they run.
 *
 * <p>The decider acts only while most of the gateways report to it, so that there are no two of
 * them. Each write is conditional on the revision that the decision is based on, which another
 * decider's write changes. Not thread-safe.
 */
public final class RolloutDecider {

  /** Reports are sent every 100 ms; a gateway without a processor may be late for some time. */
  private static final Duration REPORT_VALIDITY = Duration.ofSeconds(1);

  /** A gateway can't have been stopped and started again since its last report in this time. */
  private static final Duration CONFIRMATION_VALIDITY = Duration.ofSeconds(1);

  private static final Duration WRITE_RETRY_INTERVAL = Duration.ofMillis(300);

  /** The interval doubles up to 2.4 s, because each call to the store has its price. */
  private static final int MAX_DOUBLINGS = 3;

  /** The part of the time after which a version without a fault gets all traffic. */
  private static final double OBSERVATION_PART = 0.45;

  /** The part of the time after which this happens also without evidence for each route. */
  private static final double MAX_OBSERVATION_PART = 0.6;

  /** Comparing more often finds a fault hardly sooner; a response takes as long. */
  private static final Duration COMPARISON_INTERVAL = Duration.ofMillis(200);

  /**
   * Servers that have just started may be slow for some seconds, so slow responses count only if
   * they last. The time runs from before the fiftieth one, and is a part of the one after which a
   * faulty version must get no more requests.
   */
  private static final double SLOW_TOLERANCE_PART = 0.6;

  private static final int MANY_SLOW = 40;

  /** Slow responses that stay away for this long were a phase. */
  private static final Duration SLOW_MEMORY = Duration.ofMillis(1500);

  /** Below this, the times of all responses are compared instead of those of recent ones. */
  private static final int MIN_RESPONSES_FOR_RECENT = 150;

  private static final int RECENT_DIVISOR = 12;
  private static final int RAMP_DIVISOR = 16;
  private static final int MIN_RESPONSES = 10;

  private final Duration startedAt;
  private final Duration rollbackDelay;
  private final Map<String, GatewayEvidence> evidenceByGateway = new HashMap<>();
  private VersionComparison comparison = new VersionComparison(List.of());
  private final RecentCounts recentCounts;
  private Duration comparedAt = Duration.ZERO;
  private Duration manySlowAt = Duration.ZERO;
  private Duration lastSlowAt = SLOW_MEMORY.negated();
  private RolloutOrder order;
  private RolloutStep step = RolloutStep.NONE;
  private Duration rampStartedAt = Duration.ZERO;
  private boolean isWriting;
  private Duration writeAgainAt = Duration.ZERO;
  private int failedWrites;

  /** Why the order is rolled back, or empty if it is not. */
  private String fault = "";

  /** The latest report of a gateway, and all counts that it has reported. */
  private static final class GatewayEvidence {
    private final Map<CountsKey, ResponseCounts> counts = new HashMap<>();
    private boolean hasLeftOthers;
    private int runningAtOthers;
    private Duration receivedAt = Duration.ZERO;

    boolean isWithin(Duration validity, Duration now) {
      return now.minus(receivedAt).compareTo(validity) <= 0;
    }
  }

  /**
   * Creates a decider.
   *
   * @param order the order
   * @param rollbackDelay the time after the fiftieth faulty response of a version after which it
   *     must get no more requests
   * @param startedAt when the order was known first
   */
  public RolloutDecider(RolloutOrder order, Duration rollbackDelay, Duration startedAt) {
    this.order = order;
    this.rollbackDelay = rollbackDelay;
    this.startedAt = startedAt;
    this.recentCounts = new RecentCounts(order.duration().dividedBy(RECENT_DIVISOR), startedAt);
  }

  /**
   * Returns the order that the next write is conditional on.
   *
   * @return the order
   */
  public RolloutOrder order() {
    return order;
  }

  /**
   * Applies a later revision of the same order.
   *
   * @param newOrder the order with the same target
   */
  public void applyOrder(RolloutOrder newOrder) {
    if (newOrder.version().isAfter(order.version())) {
      order = newOrder;
    }
  }

  /**
   * Applies a report; one about another order is ignored.
   *
   * @param gateway the gateway that has sent it
   * @param report the report
   * @param now the current time
   */
  public void applyReport(String gateway, RolloutReport report, Duration now) {
    if (!report.order().hasSameTarget(order)) {
      return;
    }
    GatewayEvidence evidence =
        evidenceByGateway.computeIfAbsent(gateway, key -> new GatewayEvidence());
    evidence.receivedAt = now;
    evidence.hasLeftOthers = report.hasLeftOthers();
    evidence.runningAtOthers = report.runningAtOthers();
    for (ResponseCounts counts : report.counts()) {
      evidence.counts.put(CountsKey.of(counts), counts);
    }
  }

  /** Records that a write has ended, successfully or because the object has changed. */
  public void writeEnded() {
    isWriting = false;
    failedWrites = 0;
  }

  /**
   * Records that a write has failed or may have been lost. It is repeated with the same condition,
   * so that it takes effect at most once.
   *
   * @param now the current time
   */
  public void writeFailed(Duration now) {
    isWriting = false;
    int doublings = Math.min(failedWrites, MAX_DOUBLINGS);
    writeAgainAt = now.plus(WRITE_RETRY_INTERVAL.multipliedBy(1L << doublings));
    failedWrites++;
  }

  /**
   * Decides.
   *
   * @param gateways the gateways that may send requests, this one included
   * @param targetServers the number of servers of the target version
   * @param now the current time
   * @return the decision; a write that it contains must be carried out
   */
  public RolloutDecision decide(Set<String> gateways, int targetServers, Duration now) {
    long reporting =
        gateways.stream().filter(name -> hasReport(name, REPORT_VALIDITY, now)).count();
    boolean isMajority = reporting * 2 > gateways.size();
    updateStep(isMajority, targetServers, now);
    String reason =
        fault.isEmpty()
            ? comparison.responses() + " responses, " + comparison.failures() + " failures"
            : fault;
    Optional<RolloutState> write =
        isMajority && !isWriting && now.compareTo(writeAgainAt) >= 0
            ? nextState(gateways, now)
            : Optional.empty();
    isWriting |= write.isPresent();
    return new RolloutDecision(step, write, reason);
  }

  private boolean hasReport(String gateway, Duration validity, Duration now) {
    GatewayEvidence evidence = evidenceByGateway.get(gateway);
    return evidence != null && evidence.isWithin(validity, now);
  }

  /** Compares the versions; once the target version has all traffic, only their failures. */
  private void compare(boolean isFull, int targetServers, Duration now) {
    if (!fault.isEmpty() || now.minus(comparedAt).compareTo(COMPARISON_INTERVAL) < 0) {
      return;
    }
    comparedAt = now;
    Map<CountsKey, ResponseCounts> sums = new HashMap<>();
    for (GatewayEvidence evidence : evidenceByGateway.values()) {
      evidence.counts.forEach(
          (key, counts) ->
              sums.merge(key, isFull ? counts.withoutTimes() : counts, ResponseCounts::plus));
    }
    comparison = new VersionComparison(sums.values());
    fault = comparison.failure(targetServers);
    if (fault.isEmpty() && !isFull) {
      compareTimes(sums, targetServers, now);
    }
  }

  private void compareTimes(Map<CountsKey, ResponseCounts> sums, int targetServers, Duration now) {
    Collection<ResponseCounts> recent = recentCounts.update(sums, now);
    // The responses of all servers since the order tell a slow version from a slow server, and the
    // recent ones whether it is still slow.
    String slowness = comparison.slowness(targetServers);
    if (!slowness.isEmpty() && comparison.responses() >= MIN_RESPONSES_FOR_RECENT) {
      slowness = new VersionComparison(recent).slowness(1);
    }
    if (slowness.isEmpty()) {
      return;
    }
    lastSlowAt = now;
    if (manySlowAt.isZero() && comparison.countSlow() >= MANY_SLOW) {
      manySlowAt = now;
    }
    Duration tolerance = Duration.ofMillis((long) (rollbackDelay.toMillis() * SLOW_TOLERANCE_PART));
    boolean hasLasted = !manySlowAt.isZero() && now.minus(manySlowAt).compareTo(tolerance) >= 0;
    if (hasLasted || elapsedPart(now) >= MAX_OBSERVATION_PART) {
      fault = slowness;
    }
  }

  private boolean isSlow(Duration now) {
    return now.minus(lastSlowAt).compareTo(SLOW_MEMORY) < 0;
  }

  private void updateStep(boolean isMajority, int targetServers, Duration now) {
    // Gateways return from the last step only after a write, so a new decider continues with it.
    boolean isFull =
        step == RolloutStep.FULL
            || evidenceByGateway.values().stream().anyMatch(evidence -> evidence.hasLeftOthers);
    compare(isFull, targetServers, now);
    if (isFull) {
      step = RolloutStep.FULL;
    } else if (!fault.isEmpty() || !isMajority) {
      step = RolloutStep.NONE;
    } else {
      step = nextStep(now);
    }
    if (fault.isEmpty() && !isFull && !isRamp() && elapsedPart(now) >= 1) {
      fault = "not enough evidence in time: " + comparison.responses() + " responses";
    }
  }

  private boolean isRamp() {
    return step.compareTo(RolloutStep.RAMP) >= 0;
  }

  private double elapsedPart(Duration now) {
    return (double) now.minus(startedAt).toMillis() / order.duration().toMillis();
  }

  private RolloutStep nextStep(Duration now) {
    if (isSlow(now)) {
      rampStartedAt = Duration.ZERO;
    }
    if (!rampStartedAt.isZero()) {
      Duration rampTime = order.duration().dividedBy(RAMP_DIVISOR);
      return now.minus(rampStartedAt).compareTo(rampTime) >= 0
          ? RolloutStep.FULL
          : RolloutStep.RAMP;
    }
    double part = elapsedPart(now);
    boolean isObserved =
        !isSlow(now)
            && ((part >= OBSERVATION_PART && comparison.isSufficient())
                || (part >= MAX_OBSERVATION_PART && comparison.responses() >= MIN_RESPONSES));
    // An order whose state can't be written can't be completed either.
    if (isObserved && order.state() == RolloutState.ACTIVE) {
      rampStartedAt = now;
      return RolloutStep.RAMP;
    }
    return comparison.responses() >= MIN_RESPONSES ? RolloutStep.OBSERVE : RolloutStep.FIRST;
  }

  private Optional<RolloutState> nextState(Set<String> gateways, Duration now) {
    if (!order.isOpen()) {
      return Optional.empty();
    }
    if (!fault.isEmpty()) {
      return Optional.of(RolloutState.ROLLED_BACK);
    }
    if (order.state() == RolloutState.REQUESTED) {
      return Optional.of(RolloutState.ACTIVE);
    }
    boolean isComplete =
        step == RolloutStep.FULL && gateways.stream().allMatch(name -> hasLeftOthers(name, now));
    return isComplete ? Optional.of(RolloutState.COMPLETED) : Optional.empty();
  }

  /** Returns whether nothing of a gateway runs at other versions, or will be sent there. */
  private boolean hasLeftOthers(String gateway, Duration now) {
    GatewayEvidence evidence = evidenceByGateway.get(gateway);
    return evidence != null
        && evidence.isWithin(CONFIRMATION_VALIDITY, now)
        && evidence.hasLeftOthers
        && evidence.runningAtOthers == 0;
  }
}
