package org.wigeonstage.quota;

import com.google.common.collect.Comparators;
import java.time.Duration;
import org.wigeonstage.routes.AccountQuota;

/** The use of one account's quota, by this gateway and, as far as it is known, by the others. */
final class AccountUse {

  /** Requests are given back that waited for less, and their peers hear of it 50 ms later. */
  private static final Duration MAX_HELD = Duration.ofMillis(2500);

  private final Sharing sharing;
  private final UseWindow window;
  private final TokenBucket bucket;
  private final TokenBucket pace;
  private QuotaTolerance tolerance;
  private AccountQuota quota;
  private long own;
  private double assumedOfSilentPeer;
  private Duration earlierUseUnknownUntil;

  /**
   * Creates the use of an account.
   *
   * @param isUsedUp whether all may have been used before the start that may be used at once
   */
  AccountUse(
      AccountQuota quota,
      QuotaTolerance tolerance,
      Sharing sharing,
      boolean isUsedUp,
      Duration startedAt) {
    this.quota = quota;
    this.tolerance = tolerance;
    this.sharing = sharing;
    this.window = new UseWindow(tolerance.window());
    this.bucket = new TokenBucket(quota.perSecond(), quota.burst(), 0, startedAt);
    double burst = tolerance.burst(quota);
    double level = isUsedUp ? Math.min(burst, tolerance.afterRestart(quota)) : burst;
    this.earlierUseUnknownUntil = isUsedUp ? startedAt.plus(tolerance.window()) : startedAt;
    this.pace = new TokenBucket(tolerance.pace(quota), burst, level, startedAt);
  }

  void resize(AccountQuota newQuota, Duration now) {
    quota = newQuota;
    bucket.resize(newQuota.perSecond(), newQuota.burst(), now);
    pace.resize(tolerance.pace(quota), tolerance.burst(quota), now);
  }

  /** Changes the tolerance; the length of the window stays. */
  void applyTolerance(QuotaTolerance changed, Duration now) {
    tolerance = changed;
    pace.resize(tolerance.pace(quota), tolerance.burst(quota), now);
  }

  /** Takes over what was used before the start; own use since then is not in it. */
  void learnEarlierUse(long lately, long burstUsed, Duration now) {
    window.add(lately, now);
    pace.give(tolerance.burst(quota), now);
    usePace((double) burstUsed + own, now);
    earlierUseUnknownUntil = now;
  }

  /** Counts what another gateway knows beyond what is known here. */
  void learnMore(long lately, long burstUsed, Duration now) {
    window.add(Math.max(0, lately - window.sum(now)), now);
    usePace(Math.max(0, burstUsed - pace.missing(now)), now);
  }

  long recentUsage(Duration now) {
    return Math.round(window.sum(now));
  }

  /** Returns how much of what may be used at once was used and has not come back. */
  long burstUsed(Duration now) {
    return Math.round(pace.missing(now));
  }

  boolean tryAcquire(long units, boolean placesToSpare, Duration now) {
    if (window.sum(now) + units > tolerance.limit(quota) || !untilPaced(units, now).isZero()) {
      return false;
    }
    if (!bucket.tryAcquire(units, now)) {
      if (!placesToSpare) {
        return false;
      }
      bucket.takeUpTo(units, now);
    }
    window.add(units, now);
    countForAll(units, now);
    own += units;
    return true;
  }

  private Duration untilPaced(long units, Duration now) {
    double burst = tolerance.burst(quota);
    double wanted = inPace(Math.min(units, burst));
    boolean mayExceedShare = now.compareTo(earlierUseUnknownUntil) >= 0;
    return pace.timeUntilLevel(mayExceedShare ? Math.min(wanted, burst) : wanted, now);
  }

  /** Silent peers are taken to use as much as those that are heard, each. */
  private double inPace(double units) {
    return units * sharing.perKnownUnit();
  }

  private void countForAll(double units, Duration now) {
    usePace(inPace(units), now);
    assumedOfSilentPeer += units * sharing.ofEachSilentPeer();
  }

  private void usePace(double units, Duration now) {
    pace.takeUsed(units, -tolerance.limit(quota), now);
  }

  /** Gives back what a request took that has not run. */
  void refund(long units, Duration takenAt, Duration now) {
    removeUsage(units, takenAt, now);
    pace.give(units, now);
    own -= units;
  }

  /** Counts use of a peer; negative where it gave more back than it took since it was heard. */
  void charge(double units, Duration now) {
    if (units >= 0) {
      addUsage(units, now);
      countForAll(units, now);
    } else {
      removeUsage(-units, now.minus(MAX_HELD), now);
      pace.give(-units, now);
    }
  }

  /** Counts what a silent peer may use in the window. */
  void addUsage(double units, Duration now) {
    window.add(units, now);
    bucket.takeUpTo(units, now);
  }

  /** Takes back what was counted at a time. */
  void removeUsage(double units, Duration chargedAt, Duration now) {
    window.add(-units, chargedAt);
    bucket.give(units, now);
  }

  /** Takes back what a peer was taken to use while it was silent. */
  void refundSilence(double units, Duration now) {
    pace.give(units, now);
  }

  /** Returns what each peer is taken to have used that was silent from the start until now. */
  double assumedOfSilentPeer() {
    return assumedOfSilentPeer;
  }

  /** Returns how long it takes until what refuses the units now no longer does. */
  Duration timeUntilAvailable(long units, Duration now) {
    Duration untilTolerated = window.timeUntil(tolerance.limit(quota) - units, now);
    Duration until = Comparators.max(untilTolerated, untilPaced(units, now));
    return until.isZero() ? bucket.timeUntilAvailable(units, now) : until;
  }

  double usable() {
    return tolerance.limit(quota);
  }

  long own() {
    return own;
  }
}
