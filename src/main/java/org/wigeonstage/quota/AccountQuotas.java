package org.wigeonstage.quota;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wigeonstage.routes.AccountQuota;
import org.wigeonstage.routes.ClientAccount;

/**
 * The quotas of client accounts over all gateways.
 *
 * <p>Each gateway keeps a bucket an account for the whole limit, from which it takes its own use at
 * once and the others' when it learns of it. Where a peer is silent, its equal share is taken
 * instead, so that the sum stays below the limit when gateways can't hear each other. Buckets start
 * almost empty, because a gateway does not know what was used before it started. Not safe for use
 * by several threads.
 */
public final class AccountQuotas {

  private final Map<String, TokenBucket> buckets = new HashMap<>();
  private final Map<String, AccountQuota> quotas = new HashMap<>();
  private final Map<String, Long> ownUse = new HashMap<>();
  private final QuotaTolerance tolerance;
  private final Duration startedAt;

  /**
   * Creates quotas without accounts.
   *
   * @param tolerance by how much the use may exceed a quota
   * @param startedAt when this gateway started
   */
  public AccountQuotas(QuotaTolerance tolerance, Duration startedAt) {
    this.tolerance = tolerance;
    this.startedAt = startedAt;
  }

  /**
   * Takes over the accounts of a configuration.
   *
   * @param accounts the accounts
   * @param now the time
   */
  public void configure(List<ClientAccount> accounts, Duration now) {
    quotas.clear();
    for (ClientAccount account : accounts) {
      AccountQuota quota = account.quota();
      if (quota.isLimited()) {
        quotas.put(account.name(), quota);
        buckets
            .computeIfAbsent(account.name(), name -> newBucket(quota))
            .resize(quota.perSecond(), tolerance.capacity(quota), now);
      }
    }
    buckets.keySet().retainAll(quotas.keySet());
  }

  private TokenBucket newBucket(AccountQuota quota) {
    return new TokenBucket(
        quota.perSecond(), tolerance.capacity(quota), tolerance.levelAtStart(quota), startedAt);
  }

  /**
   * Takes units if the account's quota has them.
   *
   * @param account the account's name
   * @param units what the request counts
   * @param now the time
   * @return whether the request is within the quota
   */
  public boolean tryTake(String account, long units, Duration now) {
    TokenBucket bucket = buckets.get(account);
    if (bucket == null) {
      return true;
    }
    if (!bucket.tryTake(units, now)) {
      return false;
    }
    ownUse.merge(account, units, Long::sum);
    return true;
  }

  /**
   * Gives back what a request took that has not run.
   *
   * @param account the account's name
   * @param units what was taken
   * @param now the time
   */
  public void giveBack(String account, long units, Duration now) {
    TokenBucket bucket = buckets.get(account);
    if (bucket != null) {
      bucket.charge(-units, now);
      ownUse.merge(account, -units, Long::sum);
    }
  }

  /**
   * Takes what a peer has used.
   *
   * @param account the account's name
   * @param units the use that was not taken before; negative where too much was assumed
   * @param now the time
   */
  public void chargePeer(String account, double units, Duration now) {
    TokenBucket bucket = buckets.get(account);
    if (bucket != null) {
      bucket.charge(units, now);
    }
  }

  /**
   * Returns how long it takes until a request is within the quota.
   *
   * @param account the account's name
   * @param units what the request counts
   * @param now the time
   * @return the time
   */
  public Duration timeUntil(String account, long units, Duration now) {
    TokenBucket bucket = buckets.get(account);
    return bucket == null ? Duration.ZERO : bucket.timeUntil(units, now);
  }

  /**
   * Returns the use of this gateway since its start, for its peers.
   *
   * @return units by account
   */
  public Map<String, Long> ownUse() {
    return Map.copyOf(ownUse);
  }

  /**
   * Returns the limits in force.
   *
   * @return quotas by account
   */
  public Map<String, AccountQuota> limits() {
    return Map.copyOf(quotas);
  }
}
