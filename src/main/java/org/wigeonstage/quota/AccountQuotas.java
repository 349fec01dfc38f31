package org.wigeonstage.quota;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wigeonstage.routes.AccountQuota;
import org.wigeonstage.routes.ClientAccount;

/**
 * Enforces the quotas of client accounts across all gateways.
 *
 * <p>Needed when an account suddenly sends many times its usual load. Each gateway counts its own
 * usage immediately and the usage of its peers as their reports arrive. While a peer is
 * unresponsive, usage is assumed for it, so that the total stays within the tolerance even when
 * gateways cannot communicate. The package documentation describes the counters and assumptions.
 * Not thread-safe.
 */
public final class AccountQuotas {

  private final Map<String, AccountUsage> usages = new HashMap<>();
  private final Map<String, Integer> ranks = new HashMap<>();
  private final PeerUsageEstimator estimator = new PeerUsageEstimator();
  private QuotaTolerance tolerance;
  private final boolean isFirstStart;
  private final Duration startedAt;
  private boolean areGatewaysListed;
  private boolean hasAppliedEarlierUsage;

  /**
   * Creates quotas without accounts.
   *
   * @param tolerance the amount by which usage may exceed a quota
   * @param isFirstStart whether the deployment starts for the first time, so that there is no
   *     earlier usage
   * @param startedAt the time at which this gateway started
   */
  public AccountQuotas(QuotaTolerance tolerance, boolean isFirstStart, Duration startedAt) {
    this.tolerance = tolerance;
    this.isFirstStart = isFirstStart;
    this.startedAt = startedAt;
    this.areGatewaysListed = isFirstStart;
  }

  /**
   * Changes the amount by which usage may exceed a quota.
   *
   * @param newTolerance the new tolerance
   * @param now the current time
   */
  public void applyTolerance(QuotaTolerance newTolerance, Duration now) {
    tolerance = newTolerance;
    usages.values().forEach(usage -> usage.applyTolerance(newTolerance, now));
  }

  /**
   * Replaces the accounts with those of a configuration. Accounts that remain keep their usage.
   *
   * @param accounts the accounts
   * @param now the current time
   */
  public void applyAccounts(List<ClientAccount> accounts, Duration now) {
    Set<String> limited = new HashSet<>();
    for (ClientAccount account : accounts) {
      if (account.quota().isLimited()) {
        limited.add(account.name());
        ranks.put(account.name(), account.rank());
        usages
            .computeIfAbsent(account.name(), name -> newUsage(account.quota()))
            .applyQuota(account.quota(), now);
      }
    }
    usages.keySet().retainAll(limited);
    ranks.keySet().retainAll(limited);
  }

  /**
   * Returns the accounts that use more than their fair share of the work of their rank, over all
   * gateways in the last window.
   *
   * @param now the current time
   * @return the names of the accounts
   */
  public Set<String> accountsOverFairShare(Duration now) {
    return FairShares.accountsOver(usages, ranks, now);
  }

  private AccountUsage newUsage(AccountQuota quota) {
    return new AccountUsage(quota, tolerance, estimator, !isFirstStart, startedAt);
  }

  /**
   * Acquires units from an account's quota if they are available.
   *
   * @param account the account's name
   * @param units the cost of the request
   * @param delaysNoOther whether no requests wait for a slot, so that this request delays no other
   *     and may exceed the quota within the tolerance
   * @param now the current time
   * @return whether the units were acquired; always true for an account without a quota, and always
   *     false for others after a restart until {@link #markGatewaysListed} is called
   */
  public boolean tryAcquire(String account, long units, boolean delaysNoOther, Duration now) {
    AccountUsage usage = usages.get(account);
    return usage == null || areGatewaysListed && usage.tryAcquire(units, delaysNoOther, now);
  }

  /**
   * Refunds the units of a request that did not run.
   *
   * @param account the account's name
   * @param units the units that the request acquired
   * @param acquiredAt the time at which it acquired them
   * @param now the current time
   */
  public void refund(String account, long units, Duration acquiredAt, Duration now) {
    AccountUsage usage = usages.get(account);
    if (usage != null) {
      usage.refund(units, acquiredAt, now);
    }
  }

  /**
   * Allows acquisitions after a restart, because the gateways that share the quotas are now known.
   */
  public void markGatewaysListed() {
    areGatewaysListed = true;
  }

  /**
   * Counts units of an unresponsive peer's assumed usage in the window and the quota bucket.
   *
   * @param account the account's name
   * @param units the assumed units
   * @param now the current time
   */
  void addAssumedUsage(String account, double units, Duration now) {
    AccountUsage usage = usages.get(account);
    if (usage != null) {
      usage.addToWindowAndQuotaBucket(units, now);
    }
  }

  /**
   * Removes units of a peer's assumed usage from the window and returns them to the quota bucket.
   *
   * @param account the account's name
   * @param units the assumed units
   * @param countedAt the time at which they were counted
   * @param now the current time
   */
  void removeAssumedUsage(String account, double units, Duration countedAt, Duration now) {
    AccountUsage usage = usages.get(account);
    if (usage != null) {
      usage.removeFromWindowAndQuotaBucket(units, countedAt, now);
    }
  }

  /**
   * Counts the change in usage that a peer reported.
   *
   * @param account the account's name
   * @param units the units since the peer's previous report; negative if it refunded more than it
   *     acquired
   * @param now the current time
   */
  public void addPeerUsage(String account, double units, Duration now) {
    AccountUsage usage = usages.get(account);
    if (usage != null) {
      usage.addPeerUsage(units, now);
    }
  }

  /**
   * Counts the increase in usage that a peer reported after its reports were missing for a while.
   *
   * @param account the account's name
   * @param units the units since the peer's previous report, at least 0
   * @param toleratedBurstUsed the used part of the tolerated burst in units, as counted by the peer
   * @param now the current time
   */
  void addLatePeerUsage(String account, double units, long toleratedBurstUsed, Duration now) {
    AccountUsage usage = usages.get(account);
    if (usage != null) {
      usage.addLatePeerUsage(units, toleratedBurstUsed, now);
    }
  }

  /** Sets the number of gateways that share the quotas. */
  void updateGatewayCount(int count) {
    estimator.updateGatewayCount(count);
  }

  /**
   * Starts charging the tolerance bucket for an unresponsive peer, which is assumed to use as much
   * as the average responsive gateway. From now on, each unit of known usage takes further units
   * from the tolerance bucket for that peer.
   *
   * @return the current totals of the units charged for each unresponsive peer, by account, for
   *     {@link #stopChargingForPeer}
   */
  Map<String, Double> startChargingForPeer() {
    estimator.addUnresponsivePeer();
    Map<String, Double> chargedUnitsAtStart = new HashMap<>();
    usages.forEach(
        (account, usage) ->
            chargedUnitsAtStart.put(account, usage.totalChargedPerUnresponsivePeer()));
    return chargedUnitsAtStart;
  }

  /**
   * Stops charging for a peer, and refunds to the tolerance bucket the units charged for that peer
   * since {@link #startChargingForPeer}.
   *
   * @param chargedUnitsAtStart the result of that call for this peer
   * @param now the current time
   */
  void stopChargingForPeer(Map<String, Double> chargedUnitsAtStart, Duration now) {
    estimator.removeUnresponsivePeer();
    usages.forEach(
        (account, usage) ->
            usage.refundPeerCharge(
                usage.totalChargedPerUnresponsivePeer()
                    - chargedUnitsAtStart.getOrDefault(account, 0.0),
                now));
  }

  /** Returns whether peers may be running that have not sent a report to this gateway yet. */
  boolean mayHaveUnknownPeers() {
    return !isFirstStart;
  }

  /**
   * Returns the time after which a rejected request may be tried again: when the window and the
   * tolerance bucket allow it or, if they already do, when the quota bucket does.
   *
   * @param account the account's name
   * @param units the cost of the request
   * @param now the current time
   * @return the time to wait if nothing else is acquired; zero if the units are available
   */
  public Duration timeUntilAvailable(String account, long units, Duration now) {
    AccountUsage usage = usages.get(account);
    return usage == null ? Duration.ZERO : usage.timeUntilAvailable(units, now);
  }

  /**
   * Returns the usage of this gateway since its start, to be reported to its peers.
   *
   * @return units by account
   */
  public Map<String, Long> ownUsage() {
    Map<String, Long> own = new HashMap<>();
    usages.forEach((account, usage) -> own.put(account, usage.ownUsage()));
    return own;
  }

  /**
   * Returns whether this gateway has counted all usage of the last window, so that it can report it
   * to gateways that started later.
   *
   * @param now the current time
   * @return whether the usage is known
   */
  public boolean isEarlierUsageKnown(Duration now) {
    return isFirstStart
        || hasAppliedEarlierUsage
        || now.minus(startedAt).compareTo(tolerance.window()) >= 0;
  }

  /**
   * Returns the usage of all gateways in the last window, as far as it is known to this gateway.
   *
   * @param now the current time
   * @return units by account
   */
  public Map<String, Long> recentUsage(Duration now) {
    Map<String, Long> recent = new HashMap<>();
    usages.forEach((account, usage) -> recent.put(account, usage.recentUsage(now)));
    return recent;
  }

  /**
   * Returns the part of each account's tolerated burst that is used and not yet replenished.
   *
   * @param now the current time
   * @return units by account
   */
  public Map<String, Long> toleratedBurstUsed(Duration now) {
    Map<String, Long> used = new HashMap<>();
    usages.forEach((account, usage) -> used.put(account, usage.toleratedBurstUsed(now)));
    return used;
  }

  /**
   * Applies usage that a peer has counted and this gateway may not have. While the earlier usage is
   * unknown, the peer's report replaces the assumption that the whole tolerated burst was used.
   * Once it is known, only usage beyond the amount that this gateway has counted is added.
   *
   * @param recentUsage the units used in the last window, by account
   * @param toleratedBurstUsed the used part of each account's tolerated burst in units, by account
   * @param now the current time
   */
  public void applyEarlierUsage(
      Map<String, Long> recentUsage, Map<String, Long> toleratedBurstUsed, Duration now) {
    if (usages.isEmpty()) {
      return;
    }
    boolean isEarlierUsageKnown = isEarlierUsageKnown(now);
    toleratedBurstUsed.forEach(
        (account, used) -> {
          AccountUsage usage = usages.get(account);
          long units = recentUsage.getOrDefault(account, 0L);
          if (usage != null && isEarlierUsageKnown) {
            usage.addUnseenUsage(units, used, now);
          } else if (usage != null) {
            usage.applyEarlierUsage(units, used, now);
          }
        });
    hasAppliedEarlierUsage = true;
  }

  /**
   * Returns whether a report of a peer's recent usage was applied, by either rule of {@link
   * #applyEarlierUsage}.
   *
   * @return whether such a report was applied while there were accounts with a quota
   */
  public boolean hasAppliedEarlierUsage() {
    return hasAppliedEarlierUsage;
  }

  /**
   * Returns the maximum usage of all gateways together in any window.
   *
   * @return units by account
   */
  Map<String, Double> maxUnitsPerWindow() {
    Map<String, Double> maxUnits = new HashMap<>();
    usages.forEach((account, usage) -> maxUnits.put(account, usage.maxUnitsPerWindow()));
    return maxUnits;
  }

  /** Returns the length of the window over which usage is measured. */
  Duration window() {
    return tolerance.window();
  }
}
