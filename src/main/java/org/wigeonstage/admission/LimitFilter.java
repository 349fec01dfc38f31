package org.wigeonstage.admission;

import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.config.AccountSpec;

/** Refuses requests beyond the client account's limit. */
final class LimitFilter implements AdmissionFilter {

  private final AccountRateLimiter limits;

  LimitFilter(AccountRateLimiter limits) {
    this.limits = limits;
  }

  @Override
  public void apply(AdmissionContext context) {
    AccountSpec account = context.account();
    if (!limits.tryAcquire(account.name(), account.requestsPerSecond())) {
      throw new WigeonstageException(
          ErrorCode.ACCOUNT_LIMIT,
          "the account is over its limit of " + account.requestsPerSecond() + " requests/s");
    }
  }
}
