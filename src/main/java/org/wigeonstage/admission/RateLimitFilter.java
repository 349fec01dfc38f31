package org.wigeonstage.admission;

import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.config.AccountSpec;

/** Refuses requests that exceed the rate limit of the client account. */
final class RateLimitFilter implements AdmissionFilter {

  private final AccountRateLimiter rateLimiter;

  RateLimitFilter(AccountRateLimiter rateLimiter) {
    this.rateLimiter = rateLimiter;
  }

  @Override
  public void apply(AdmissionContext context) {
    AccountSpec account = context.account();
    if (!rateLimiter.tryAcquire(account.name(), account.requestsPerSecond())) {
      throw new WigeonstageException(
          ErrorCode.ACCOUNT_LIMIT,
          "client account '"
              + account.name()
              + "' exceeds its limit of "
              + account.requestsPerSecond()
              + " requests per second");
    }
  }
}
