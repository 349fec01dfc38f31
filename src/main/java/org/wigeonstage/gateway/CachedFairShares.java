package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.Set;
import org.wigeonstage.quota.AccountQuotas;
import org.wigeonstage.telemetry.DecisionLog;

/** The accounts that are over their fair share, determined at intervals. */
final class CachedFairShares {

  /** Usage is measured over several seconds, so that more frequent updates change nothing. */
  private static final Duration INTERVAL = Duration.ofMillis(500);

  private final AccountQuotas quotas;
  private Set<String> accounts = Set.of();
  private Duration updatedAt = Duration.ZERO;

  CachedFairShares(AccountQuotas quotas) {
    this.quotas = quotas;
  }

  /** Returns the accounts that use more than their fair share of the work of their rank. */
  Set<String> accountsOver(Duration now) {
    if (now.minus(updatedAt).compareTo(INTERVAL) >= 0) {
      Set<String> previous = accounts;
      accounts = quotas.accountsOverFairShare(now);
      updatedAt = now;
      if (!accounts.equals(previous)) {
        DecisionLog.write("accounts-over-share", "accounts", String.join(",", accounts));
      }
    }
    return accounts;
  }
}
