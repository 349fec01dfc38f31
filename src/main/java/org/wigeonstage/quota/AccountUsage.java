package org.wigeonstage.quota;

import com.google.common.collect.Comparators;
import java.time.Duration;
import org.wigeonstage.routes.AccountQuota;

/**
 * The usage of one account's quota by this gateway and, as far as it is known or estimated, by its
 * peers.
 *
 * <p>There are three counters: the sliding window limits the total usage, the tolerance bucket
 * spreads it over the window, and the quota bucket tells which requests exceed the quota itself.
 * The package documentation describes which events change which counter.
 */
final class AccountUsage {

  /**
   * The maximum time from an acquisition to a peer's report of its refund. A request that is
   * refunded has waited for less than this, including the 50 ms between two reports.
   */
  private static final Duration MAX_REFUND_AGE = Duration.ofMillis(2500);

  private final PeerUsageEstimator estimator;
  private final UsageWindow window;
  private final UnitBucket quotaBucket;
  private final UnitBucket toleranceBucket;
  private QuotaTolerance tolerance;
  private AccountQuota quota;
  private long ownUsage;
  private double totalChargedPerUnresponsivePeer;
  private Duration earlierUsageUnknownUntil;

  /**
   * Creates the usage of an account.
   *
   * @param mayBeExhausted whether the whole tolerated burst may have been used before this gateway
   *     started
   */
  AccountUsage(
      AccountQuota quota,
      QuotaTolerance tolerance,
      PeerUsageEstimator estimator,
      boolean mayBeExhausted,
      Duration startedAt) {
    this.quota = quota;
    this.tolerance = tolerance;
    this.estimator = estimator;
    this.window = new UsageWindow(tolerance.window());
    this.quotaBucket = new UnitBucket(quota.unitsPerSecond(), quota.burstUnits(), 0, startedAt);
    double toleratedBurst = tolerance.toleratedBurst(quota);
    double level =
        mayBeExhausted
            ? Math.min(toleratedBurst, tolerance.toleratedBurstAfterRestart(quota))
            : toleratedBurst;
    this.earlierUsageUnknownUntil = mayBeExhausted ? startedAt.plus(tolerance.window()) : startedAt;
    this.toleranceBucket =
        new UnitBucket(tolerance.sustainedRate(quota), toleratedBurst, level, startedAt);
  }

  void applyQuota(AccountQuota newQuota, Duration now) {
    quota = newQuota;
    quotaBucket.resize(newQuota.unitsPerSecond(), newQuota.burstUnits(), now);
    toleranceBucket.resize(tolerance.sustainedRate(quota), tolerance.toleratedBurst(quota), now);
  }

  /** Changes the tolerance, but not the length of the window. */
  void applyTolerance(QuotaTolerance newTolerance, Duration now) {
    tolerance = newTolerance;
    toleranceBucket.resize(tolerance.sustainedRate(quota), tolerance.toleratedBurst(quota), now);
  }

  /**
   * Replaces the assumption about the earlier usage with what a peer reported. The reported values
   * don't include this gateway's own usage.
   *
   * @param recentUsage the units used in the last window
   * @param toleratedBurstUsed the units missing from the peer's tolerance bucket
   */
  void applyEarlierUsage(long recentUsage, long toleratedBurstUsed, Duration now) {
    window.add(recentUsage, now);
    toleranceBucket.refund(tolerance.toleratedBurst(quota), now);
    chargeTolerance((double) toleratedBurstUsed + ownUsage, now);
    earlierUsageUnknownUntil = now;
  }

  /** Raises the counts to those of a peer, where the peer has counted more than this gateway. */
  void addUnseenUsage(long recentUsage, long toleratedBurstUsed, Duration now) {
    window.add(Math.max(0, recentUsage - window.sum(now)), now);
    chargeTolerance(Math.max(0, toleratedBurstUsed - toleranceBucket.used(now)), now);
  }

  AccountQuota quota() {
    return quota;
  }

  long recentUsage(Duration now) {
    return Math.round(window.sum(now));
  }

  /** Returns the part of the tolerated burst that is used and not yet replenished. */
  long toleratedBurstUsed(Duration now) {
    return Math.round(toleranceBucket.used(now));
  }

  boolean tryAcquire(long units, boolean delaysNoOther, Duration now) {
    if (window.sum(now) + units > tolerance.maxUnitsPerWindow(quota)
        || !timeUntilTolerated(units, now).isZero()) {
      return false;
    }
    if (!quotaBucket.tryAcquire(units, now)) {
      if (!delaysNoOther) {
        return false;
      }
      quotaBucket.acquireUpTo(units, now);
    }
    window.add(units, now);
    chargeEstimatedTotal(units, now);
    ownUsage += units;
    return true;
  }

  /**
   * Returns the time until the tolerance bucket allows the units. At most the tolerated burst is
   * required, so that a larger request is allowed when the bucket is full. While the earlier usage
   * is unknown, the charge for unresponsive peers may raise this above the tolerated burst; the
   * request is then not allowed.
   */
  private Duration timeUntilTolerated(long units, Duration now) {
    double toleratedBurst = tolerance.toleratedBurst(quota);
    double needed = estimatedTotal(Math.min(units, toleratedBurst));
    boolean isEarlierUsageKnown = now.compareTo(earlierUsageUnknownUntil) >= 0;
    return toleranceBucket.timeUntilLevel(
        isEarlierUsageKnown ? Math.min(needed, toleratedBurst) : needed, now);
  }

  /**
   * Returns the estimated usage of all gateways for the given units of known usage. Each
   * unresponsive peer is assumed to use as much as the average responsive gateway.
   */
  private double estimatedTotal(double units) {
    return units * estimator.chargePerKnownUnit();
  }

  private void chargeEstimatedTotal(double units, Duration now) {
    chargeTolerance(estimatedTotal(units), now);
    totalChargedPerUnresponsivePeer += units * estimator.peerChargePerKnownUnit();
  }

  private void chargeTolerance(double units, Duration now) {
    toleranceBucket.charge(units, -tolerance.maxUnitsPerWindow(quota), now);
  }

  /** Refunds the units of a request that did not run. */
  void refund(long units, Duration acquiredAt, Duration now) {
    removeFromWindowAndQuotaBucket(units, acquiredAt, now);
    toleranceBucket.refund(units, now);
    ownUsage -= units;
  }

  /** Counts units that a peer reported; negative if it refunded more than it acquired. */
  void addPeerUsage(double units, Duration now) {
    if (units >= 0) {
      addToWindowAndQuotaBucket(units, now);
      chargeEstimatedTotal(units, now);
    } else {
      removeFromWindowAndQuotaBucket(-units, now.minus(MAX_REFUND_AGE), now);
      toleranceBucket.refund(-units, now);
    }
  }

  /**
   * Counts units that a peer reported after its reports were missing for a while. When they were
   * used is unknown, and most of them may have been replenished since. The tolerance bucket is
   * therefore charged only up to what the peer counts as used and not yet replenished.
   */
  void addLatePeerUsage(double units, long toleratedBurstUsed, Duration now) {
    addToWindowAndQuotaBucket(units, now);
    chargeTolerance(
        Math.min(units, Math.max(0, toleratedBurstUsed - toleranceBucket.used(now))), now);
  }

  /** Counts units in the window and the quota bucket, but not in the tolerance bucket. */
  void addToWindowAndQuotaBucket(double units, Duration now) {
    window.add(units, now);
    quotaBucket.acquireUpTo(units, now);
  }

  /** Removes units from the window and the quota bucket that were counted at the given time. */
  void removeFromWindowAndQuotaBucket(double units, Duration countedAt, Duration now) {
    window.add(-units, countedAt);
    quotaBucket.refund(units, now);
  }

  /**
   * Refunds units to the tolerance bucket that were charged for a peer while it was unresponsive.
   */
  void refundPeerCharge(double units, Duration now) {
    toleranceBucket.refund(units, now);
  }

  /**
   * Returns the total, since this gateway's start, of the units charged to the tolerance bucket for
   * each unresponsive peer. The units charged for a peer while it was unresponsive are the total at
   * the end of that time less the total at its start.
   */
  double totalChargedPerUnresponsivePeer() {
    return totalChargedPerUnresponsivePeer;
  }

  /**
   * Returns the time until the window and the tolerance bucket allow the units or, if they already
   * do, until the quota bucket does.
   */
  Duration timeUntilAvailable(long units, Duration now) {
    Duration untilWindowAllows = window.timeUntil(tolerance.maxUnitsPerWindow(quota) - units, now);
    Duration until = Comparators.max(untilWindowAllows, timeUntilTolerated(units, now));
    return until.isZero() ? quotaBucket.timeUntilAvailable(units, now) : until;
  }

  double maxUnitsPerWindow() {
    return tolerance.maxUnitsPerWindow(quota);
  }

  long ownUsage() {
    return ownUsage;
  }
}
