package org.wigeonstage.gateway;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.Optional;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.quota.AccountQuotas;
import org.wigeonstage.routes.ClientAccount;

/** Acquires a request's units from the quota of its client account. */
final class QuotaFilter implements InboundFilter {

  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);

  private final GatewayCore core;
  private final AccountQuotas quotas;

  QuotaFilter(GatewayCore core) {
    this.core = core;
    this.quotas = core.quotas();
  }

  @Override
  public Optional<Rejection> apply(InboundRequest request) {
    if (request.account().isEmpty()) {
      return Optional.empty();
    }
    ClientAccount account = request.account().get();
    long units = account.quota().costOf(request.fields().declaredTokens());
    boolean noRequestsWait = !core.hasWaitingRequests(request.route());
    if (!quotas.tryAcquire(account.name(), units, noRequestsWait, request.readAt())) {
      Duration wait = quotas.timeUntilAvailable(account.name(), units, request.readAt());
      return Optional.of(
          Rejection.retryable(
              ErrorCode.ACCOUNT_LIMIT,
              "the client account is over its quota, or the gateway does not know its usage yet",
              Comparators.max(wait, MIN_RETRY_AFTER)));
    }
    request.setQuotaUnits(units);
    return Optional.empty();
  }
}
