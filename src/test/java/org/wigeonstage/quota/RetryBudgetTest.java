package org.wigeonstage.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {

  private static final RetryLimits LIMITS = new RetryLimits(0.2, 40, Duration.ofSeconds(10), 1);

  @Test
  void sharesFixedAllowanceAmongGateways() {
    RetryBudget budget = new RetryBudget(LIMITS);
    int acquired = 0;
    for (int i = 0; i < 100; i++) {
      acquired += budget.tryAcquireRetry(4, Duration.ofSeconds(1)) ? 1 : 0;
    }
    assertThat(acquired).isEqualTo(10);
  }

  @Test
  void allowsRetriesInProportionToRequests() {
    RetryBudget budget = new RetryBudget(LIMITS);
    for (int i = 0; i < 100; i++) {
      budget.recordRequest(Duration.ofSeconds(1));
    }
    int acquired = 0;
    for (int i = 0; i < 100; i++) {
      acquired += budget.tryAcquireRetry(40, Duration.ofSeconds(2)) ? 1 : 0;
    }
    assertThat(acquired).isEqualTo(21);
  }

  /** All servers of a pool fail for a minute, so that every request would be retried. */
  @Test
  void keepsRetriesWithinAllowanceInEveryWindowWhileAllServersFail() {
    RetryBudget budget = new RetryBudget(LIMITS);
    boolean[] retried = new boolean[6000];
    for (int step = 0; step < retried.length; step++) {
      Duration now = Duration.ofMillis(step * 10L);
      budget.recordRequest(now);
      retried[step] = budget.tryAcquireRetry(4, now);
    }
    for (int start = 0; start + 1000 <= retried.length; start += 50) {
      int retriesInWindow = 0;
      for (int step = start; step < start + 1000; step++) {
        retriesInWindow += retried[step] ? 1 : 0;
      }
      assertThat(retriesInWindow).isLessThanOrEqualTo(200 + 10 + 11);
    }
  }

  @Test
  void returnsWhetherRetryIsAllowedWithoutAcquiringIt() {
    RetryBudget budget = new RetryBudget(new RetryLimits(0, 1, Duration.ofSeconds(10), 1));
    assertThat(budget.allowsRetry(1, Duration.ofSeconds(1))).isTrue();
    assertThat(budget.tryAcquireRetry(1, Duration.ofSeconds(1))).isTrue();
    assertThat(budget.allowsRetry(1, Duration.ofSeconds(1))).isFalse();
    assertThat(budget.allowsRetry(1, Duration.ofSeconds(30))).isTrue();
  }
}
