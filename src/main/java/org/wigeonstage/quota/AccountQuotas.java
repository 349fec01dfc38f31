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
 * The quotas of client accounts over all gateways.
 *
 * <p>Answers the load pattern of one account that sends many times its usual. Each gateway counts
 * its own use at once and the others' when it learns of it. Where a peer is silent, its equal share
 * is counted instead, so that the sum stays below the limit when gateways can't hear each other.
 * Not safe for use by several threads.
 */
public final class AccountQuotas {

  private final Map<String, AccountUse> uses = new HashMap<>();
  private final Sharing sharing = new Sharing();
  private QuotaTolerance tolerance;
  private final boolean isFirstStart;
  private final Duration startedAt;
  private boolean gatewaysAreListed;
  private boolean hasLearned;

  /**
   * Creates quotas without accounts.
   *
   * @param tolerance by how much the use may exceed a quota
   * @param isFirstStart whether nothing can have been used before
   * @param startedAt when this gateway started
   */
  public AccountQuotas(QuotaTolerance tolerance, boolean isFirstStart, Duration startedAt) {
    this.tolerance = tolerance;
    this.isFirstStart = isFirstStart;
    this.startedAt = startedAt;
    this.gatewaysAreListed = isFirstStart;
  }

  /**
   * Changes by how much the use may exceed a quota.
   *
   * @param changed the tolerance
   * @param now the time
   */
  public void applyTolerance(QuotaTolerance changed, Duration now) {
    tolerance = changed;
    uses.values().forEach(use -> use.applyTolerance(changed, now));
  }

  /**
   * Takes over the accounts of a configuration.
   *
   * @param accounts the accounts
   * @param now the time
   */
  public void applyAccounts(List<ClientAccount> accounts, Duration now) {
    Set<String> limited = new HashSet<>();
    for (ClientAccount account : accounts) {
      if (account.quota().isLimited()) {
        limited.add(account.name());
        uses.computeIfAbsent(account.name(), name -> newUse(account.quota()))
            .resize(account.quota(), now);
      }
    }
    uses.keySet().retainAll(limited);
  }

  private AccountUse newUse(AccountQuota quota) {
    return new AccountUse(quota, tolerance, sharing, !isFirstStart, startedAt);
  }

  /**
   * Takes units if the account may use them.
   *
   * @param account the account's name
   * @param units what the request counts
   * @param placesToSpare whether the request takes no place from others
   * @param now the time
   * @return whether the request is within the quota, or within what is tolerated
   */
  public boolean tryAcquire(String account, long units, boolean placesToSpare, Duration now) {
    AccountUse use = uses.get(account);
    return use == null || gatewaysAreListed && use.tryAcquire(units, placesToSpare, now);
  }

  /**
   * Gives back what a request took that has not run.
   *
   * @param account the account's name
   * @param units what was taken
   * @param takenAt when it was taken
   * @param now the time
   */
  public void refund(String account, long units, Duration takenAt, Duration now) {
    AccountUse use = uses.get(account);
    if (use != null) {
      use.refund(units, takenAt, now);
    }
  }

  /** Notes that the gateways are known that may use the quotas, too. */
  public void markGatewaysListed() {
    gatewaysAreListed = true;
  }

  /**
   * Counts what a peer is assumed to use in the window.
   *
   * @param account the account's name
   * @param units what is assumed
   * @param now the time
   */
  void assumeOfPeer(String account, double units, Duration now) {
    AccountUse use = uses.get(account);
    if (use != null) {
      use.addUsage(units, now);
    }
  }

  /**
   * Takes back what was assumed of a peer.
   *
   * @param account the account's name
   * @param units what was assumed
   * @param chargedAt when it was counted
   * @param now the time
   */
  void refundPeer(String account, double units, Duration chargedAt, Duration now) {
    AccountUse use = uses.get(account);
    if (use != null) {
      use.removeUsage(units, chargedAt, now);
    }
  }

  /**
   * Counts what a peer has used.
   *
   * @param account the account's name
   * @param units the use that was not counted before; negative where too much was assumed
   * @param now the time
   */
  public void chargePeer(String account, double units, Duration now) {
    AccountUse use = uses.get(account);
    if (use != null) {
      use.charge(units, now);
    }
  }

  /** Sets the number of gateways that share the limits. */
  void gateways(int count) {
    sharing.gateways(count);
  }

  /**
   * Takes a peer to use as much as those that are heard, from now on.
   *
   * @return what was assumed of each silent peer before, by account
   */
  Map<String, Double> peerFellSilent() {
    sharing.peerFellSilent();
    Map<String, Double> before = new HashMap<>();
    uses.forEach((account, use) -> before.put(account, use.assumedOfSilentPeer()));
    return before;
  }

  /**
   * Takes back what a peer was taken to use since it fell silent.
   *
   * @param before what was assumed of each silent peer before
   * @param now the time
   */
  void peerIsKnown(Map<String, Double> before, Duration now) {
    sharing.peerIsKnown();
    uses.forEach(
        (account, use) ->
            use.refundSilence(use.assumedOfSilentPeer() - before.getOrDefault(account, 0.0), now));
  }

  /** Returns whether peers may run that were not heard yet. */
  boolean followsOthers() {
    return !isFirstStart;
  }

  /**
   * Returns how long it takes until a request is within the quota.
   *
   * @param account the account's name
   * @param units what the request counts
   * @param now the time
   * @return the time
   */
  public Duration timeUntilAvailable(String account, long units, Duration now) {
    AccountUse use = uses.get(account);
    return use == null ? Duration.ZERO : use.timeUntilAvailable(units, now);
  }

  /**
   * Returns the use of this gateway since its start, for its peers.
   *
   * @return units by account
   */
  public Map<String, Long> ownUsage() {
    Map<String, Long> own = new HashMap<>();
    uses.forEach((account, use) -> own.put(account, use.own()));
    return own;
  }

  /**
   * Returns whether all use of the last window is known here, so that others can learn it.
   *
   * @param now the time
   * @return whether it is known
   */
  public boolean knowsEarlierUsage(Duration now) {
    return isFirstStart || hasLearned || now.minus(startedAt).compareTo(tolerance.window()) >= 0;
  }

  /**
   * Returns what all gateways have used in the last window, as far as it is known here.
   *
   * @param now the time
   * @return units by account
   */
  public Map<String, Long> recentUsage(Duration now) {
    Map<String, Long> lately = new HashMap<>();
    uses.forEach((account, use) -> lately.put(account, use.recentUsage(now)));
    return lately;
  }

  /**
   * Returns how much was used of what may be used at once, and has not come back.
   *
   * @param now the time
   * @return units by account
   */
  public Map<String, Long> burstUsed(Duration now) {
    Map<String, Long> spent = new HashMap<>();
    uses.forEach((account, use) -> spent.put(account, use.burstUsed(now)));
    return spent;
  }

  /**
   * Takes over what a gateway knows of the use before it was heard: at first in place of the
   * assumption that all was used up before this one's start, and then what it knows beyond that.
   *
   * @param lately what was used in the last window, by account
   * @param burstUsed what was used of what may be used at once, by account
   * @param now the time
   */
  public void learnEarlierUse(Map<String, Long> lately, Map<String, Long> burstUsed, Duration now) {
    if (uses.isEmpty()) {
      return;
    }
    boolean knowsEarlierUsage = knowsEarlierUsage(now);
    burstUsed.forEach(
        (account, spent) -> {
          AccountUse use = uses.get(account);
          long units = lately.getOrDefault(account, 0L);
          if (use != null && knowsEarlierUsage) {
            use.learnMore(units, spent, now);
          } else if (use != null) {
            use.learnEarlierUse(units, spent, now);
          }
        });
    hasLearned = true;
  }

  /**
   * Returns whether another gateway has told what was used before this one's start.
   *
   * @return whether it is known
   */
  public boolean hasLearned() {
    return hasLearned;
  }

  /**
   * Returns what all gateways may use together in any window.
   *
   * @return units by account
   */
  Map<String, Double> usable() {
    Map<String, Double> usable = new HashMap<>();
    uses.forEach((account, use) -> usable.put(account, use.usable()));
    return usable;
  }

  /** Returns the length of the window. */
  Duration window() {
    return tolerance.window();
  }
}
