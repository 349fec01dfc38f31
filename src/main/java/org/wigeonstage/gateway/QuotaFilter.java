package org.wigeonstage.gateway;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.Optional;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.quota.AccountQuotas;
import org.wigeonstage.routes.ClientAccount;

/** Takes a request's cost from its account's quota. */
final class QuotaFilter implements InboundFilter {

  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);

  private final GatewayCore core;
  private final AccountQuotas quotas;

  QuotaFilter(GatewayCore core) {
    this.core = core;
    this.quotas = core.quotas();
  }

  @Override
  public Optional<Rejection> apply(InboundRequest call) {
    if (call.account().isEmpty()) {
      return Optional.empty();
    }
    ClientAccount account = call.account().get();
    long units = account.quota().costOf(call.fields().declaredTokens());
    boolean placesToSpare = !core.isCongested(call.route());
    if (!quotas.tryAcquire(account.name(), units, placesToSpare, call.arrivedAt())) {
      Duration wait = quotas.timeUntilAvailable(account.name(), units, call.arrivedAt());
      return Optional.of(
          Rejection.retryable(
              ErrorCode.ACCOUNT_LIMIT,
              "the account is over its limit",
              Comparators.max(wait, MIN_RETRY_AFTER)));
    }
    call.quotaUnits(units);
    return Optional.empty();
  }
}
