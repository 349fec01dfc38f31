package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.wigeonstage.quota.RetryBudget;
import org.wigeonstage.quota.RetryLimits;

/** The retry budgets of all pools. Not thread-safe. */
final class RetryBudgets {

  private final Map<String, RetryBudget> budgets = new HashMap<>();
  private RetryLimits limits;

  RetryBudgets(RetryLimits limits) {
    this.limits = limits;
  }

  /** Applies changed limits; the budgets then start anew. */
  void applyLimits(RetryLimits newLimits) {
    if (!newLimits.equals(limits)) {
      limits = newLimits;
      budgets.clear();
    }
  }

  void recordRequest(String poolName, Duration arrivedAt) {
    budget(poolName).recordRequest(arrivedAt);
  }

  /** Acquires a retry from the pool's budget; returns whether the budget allowed one. */
  boolean tryAcquireRetry(String poolName, int gatewayCount, Duration now) {
    return budget(poolName).tryAcquireRetry(gatewayCount, now);
  }

  boolean allowsRetry(String poolName, int gatewayCount, Duration now) {
    return budget(poolName).allowsRetry(gatewayCount, now);
  }

  private RetryBudget budget(String poolName) {
    return budgets.computeIfAbsent(poolName, key -> new RetryBudget(limits));
  }
}
