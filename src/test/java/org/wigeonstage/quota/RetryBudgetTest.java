package org.wigeonstage.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {

  /** A retry for every 5 requests and 40 further ones in 10 s, all of which may be used. */
  private static final RetryLimits LIMITS = new RetryLimits(0.2, 40, Duration.ofSeconds(10), 1);

  private static final int REQUESTS_PER_SECOND = 100;

  /** 0.2 retries for each of the 1000 requests in 10 s. */
  private static final int PROPORTIONAL_RETRIES = 200;

  /** The share of one of 4 gateways in the 40 fixed retries. */
  private static final int FIXED_RETRIES_PER_GATEWAY = 10;

  /**
   * The budget counts requests in 20 slices of 10 s / 19, which is one slice more than the window.
   * At 100 requests per second, that slice allows 0.2 * 52.6 retries more, rounded up to 11.
   */
  private static final int RETRIES_OF_ONE_SLICE = 11;

  @Test
  void sharesFixedAllowanceAmongGateways() {
    RetryBudget budget = new RetryBudget(LIMITS);
    int acquired = 0;
    for (int i = 0; i < 100; i++) {
      acquired += budget.tryAcquireRetry(4, Duration.ofSeconds(1)) ? 1 : 0;
    }
    assertThat(acquired).isEqualTo(FIXED_RETRIES_PER_GATEWAY);
  }

  /** 100 requests allow 20 retries, and one of 40 gateways has one of the 40 fixed retries. */
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
      Duration now = Duration.ofMillis(step * 1000L / REQUESTS_PER_SECOND);
      budget.recordRequest(now);
      retried[step] = budget.tryAcquireRetry(4, now);
    }
    for (int start = 0; start + 1000 <= retried.length; start += 50) {
      int retriesInWindow = 0;
      for (int step = start; step < start + 1000; step++) {
        retriesInWindow += retried[step] ? 1 : 0;
      }
      assertThat(retriesInWindow)
          .isLessThanOrEqualTo(
              PROPORTIONAL_RETRIES + FIXED_RETRIES_PER_GATEWAY + RETRIES_OF_ONE_SLICE);
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
