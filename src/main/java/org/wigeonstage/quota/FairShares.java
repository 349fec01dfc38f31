package org.wigeonstage.quota;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tells which accounts use more than their fair share of the work of their rank, over all gateways.
 *
 * <p>The fair share of an account is proportional to the rate of its quota. Only accounts whose
 * quotas count the same units are compared.
 */
final class FairShares {

  /**
   * An account may use this much more of its quota than all accounts of its rank together. The
   * margin covers the usual differences between accounts; the senders of bursts exceed it.
   */
  private static final double MAX_EXCESS = 1.5;

  /** Accounts that are compared with each other. */
  private record Group(int rank, boolean countsTokens) {}

  /** The usage and the quotas of a group. */
  private static final class Sums {
    private double units;
    private double unitsPerSecond;
  }

  private FairShares() {}

  /**
   * Returns the names of the accounts that exceed their share.
   *
   * @param usages the usage by account
   * @param ranks the ranks by account
   * @param now the current time
   */
  static Set<String> accountsOver(
      Map<String, AccountUsage> usages, Map<String, Integer> ranks, Duration now) {
    Map<Group, Sums> groups = new HashMap<>();
    usages.forEach(
        (account, usage) -> {
          Sums sums = groups.computeIfAbsent(groupOf(account, usage, ranks), group -> new Sums());
          sums.units += usage.recentUsage(now);
          sums.unitsPerSecond += usage.quota().unitsPerSecond();
        });
    Set<String> over = new HashSet<>();
    usages.forEach(
        (account, usage) -> {
          Sums sums = groups.computeIfAbsent(groupOf(account, usage, ranks), group -> new Sums());
          double fairUnits =
              sums.units * usage.quota().unitsPerSecond() / Math.max(1e-9, sums.unitsPerSecond);
          if (usage.recentUsage(now) > MAX_EXCESS * fairUnits) {
            over.add(account);
          }
        });
    return over;
  }

  private static Group groupOf(String account, AccountUsage usage, Map<String, Integer> ranks) {
    return new Group(ranks.getOrDefault(account, 0), usage.quota().countsTokens());
  }
}
