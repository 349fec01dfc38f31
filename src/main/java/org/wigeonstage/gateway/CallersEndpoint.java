package org.wigeonstage.gateway;

import java.util.List;
import java.util.Optional;
import org.wigeonstage.http.RequestHandler;
import org.wigeonstage.http.ServerExchange;

/** Takes callers' requests through the filters to their placement. */
final class CallersEndpoint implements RequestHandler {

  private final GatewayCore core;
  private final List<InboundFilter> filters;

  CallersEndpoint(GatewayCore core, Beliefs beliefs) {
    this.core = core;
    this.filters =
        List.of(
            new FreshnessFilter(beliefs),
            new RouteFilter(),
            new KeyFilter(),
            new QuotaFilter(core.quotas()));
  }

  @Override
  public void handle(ServerExchange exchange) {
    core.run(() -> take(exchange));
  }

  private void take(ServerExchange exchange) {
    InboundCall call =
        new InboundCall(exchange, core.dialect().decodeRequest(exchange.fields()), core.now());
    for (InboundFilter filter : filters) {
      Optional<Rejection> rejection = filter.apply(call);
      if (rejection.isPresent()) {
        core.rejectEarly(call, rejection.get());
        return;
      }
    }
    core.accept(call);
  }
}
