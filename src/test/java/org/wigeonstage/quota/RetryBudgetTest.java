package org.wigeonstage.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {

  private static final RetryLimits LIMITS = new RetryLimits(0.2, 40, Duration.ofSeconds(10), 1);

  @Test
  void sharesTheFixedAllowanceAmongGateways() {
    RetryBudget budget = new RetryBudget(LIMITS);
    int taken = 0;
    for (int i = 0; i < 100; i++) {
      taken += budget.tryAcquireRetry(4, Duration.ofSeconds(1)) ? 1 : 0;
    }
    assertThat(taken).isEqualTo(10);
  }

  @Test
  void allowsAPartOfTheRequests() {
    RetryBudget budget = new RetryBudget(LIMITS);
    for (int i = 0; i < 100; i++) {
      budget.recordRequest(Duration.ofSeconds(1));
    }
    int taken = 0;
    for (int i = 0; i < 100; i++) {
      taken += budget.tryAcquireRetry(40, Duration.ofSeconds(2)) ? 1 : 0;
    }
    assertThat(taken).isEqualTo(21);
  }

  /** All servers of a pool fail for a while, and each failed request would come again. */
  @Test
  void keepsRepeatsWithinTheAllowanceInEveryWindowWhileAllServersFail() {
    RetryBudget budget = new RetryBudget(LIMITS);
    boolean[] repeated = new boolean[6000];
    for (int step = 0; step < repeated.length; step++) {
      Duration now = Duration.ofMillis(step * 10L);
      budget.recordRequest(now);
      repeated[step] = budget.tryAcquireRetry(4, now);
    }
    for (int start = 0; start + 1000 <= repeated.length; start += 50) {
      int inWindow = 0;
      for (int step = start; step < start + 1000; step++) {
        inWindow += repeated[step] ? 1 : 0;
      }
      assertThat(inWindow).isLessThanOrEqualTo(200 + 10 + 11);
    }
  }

  @Test
  void tellsWhetherARepeatIsAllowedWithoutTakingIt() {
    RetryBudget budget = new RetryBudget(new RetryLimits(0, 1, Duration.ofSeconds(10), 1));
    assertThat(budget.allowsRetry(1, Duration.ofSeconds(1))).isTrue();
    assertThat(budget.tryAcquireRetry(1, Duration.ofSeconds(1))).isTrue();
    assertThat(budget.allowsRetry(1, Duration.ofSeconds(1))).isFalse();
    assertThat(budget.allowsRetry(1, Duration.ofSeconds(30))).isTrue();
  }
}
