package org.wigeonstage.gateway;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Locale;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.http.Arrival;
import org.wigeonstage.routes.Route;
import org.wigeonstage.telemetry.MetricName;

/**
 * Counts callers' requests by what they were and how they ended, and times their answers.
 *
 * <p>A tier is written as the account's rank, a point and the route's rank. Accounts are counted
 * apart from kinds and pools, so that the number of counters grows with their sum.
 */
final class RequestMetrics {

  private static final String UNKNOWN = "unknown";

  private final MetricRegistry registry;

  RequestMetrics(MetricRegistry registry) {
    this.registry = registry;
  }

  /** Times how long a request waited to be read, at most, and then to be handled. */
  void arrived(Arrival arrival, Duration handledAt) {
    registry.timer("callers.unread").update(arrival.maxReadDelay());
    registry.timer("callers.unhandled").update(handledAt.minus(arrival.readAt()));
  }

  /** Times how long the end of a caller's connection waited to be handled. */
  void callerEnded(Duration unhandled) {
    registry.timer("callers.endUnhandled").update(unhandled);
  }

  /** Times the interval between two runs of the control task. */
  void ticked(Duration interval) {
    registry.timer("control.interval").update(interval);
  }

  /** Times how long a request took from its placement until its bytes had left. */
  void written(Duration sinceStart) {
    registry.timer("attempts.written").update(sinceStart);
  }

  /** Counts a request that a backend server answered. */
  void served(ForwardedRequest request, Duration firstPart, Duration whole) {
    count(request.call(), request.pool(), "served");
    time("firstPart", request, firstPart);
    time("duration", request, whole);
  }

  /** Counts a request that got an answer of the gateway's own. */
  void rejected(InboundRequest call, ErrorCode code) {
    String pool = call.routeIfKnown().map(route -> route.pools().get(0).pool()).orElse(UNKNOWN);
    count(call, pool, code.text());
  }

  /** Counts a request that ended without a whole answer. */
  void ended(ForwardedRequest request, RequestOutcome outcome) {
    count(request.call(), request.pool(), outcome.name().toLowerCase(Locale.ROOT));
  }

  private void count(InboundRequest call, String pool, String outcome) {
    String kind = call.routeIfKnown().map(RequestMetrics::kindOf).orElse(UNKNOWN);
    registry
        .counter(
            MetricName.of(
                "requests", "kind", kind, "tier", tierOf(call), "pool", pool, "outcome", outcome))
        .inc();
    call.account()
        .ifPresent(
            account ->
                registry
                    .counter(
                        MetricName.of("accounts", "account", account.name(), "outcome", outcome))
                    .inc());
  }

  private void time(String name, ForwardedRequest request, Duration duration) {
    InboundRequest call = request.call();
    registry
        .timer(
            MetricName.of(
                name, "kind", kindOf(call.route()), "tier", tierOf(call), "pool", request.pool()))
        .update(duration);
  }

  private static String kindOf(Route route) {
    return route.kind().name().toLowerCase(Locale.ROOT);
  }

  private static String tierOf(InboundRequest call) {
    String accountRank =
        call.account().map(account -> Integer.toString(account.priority())).orElse("0");
    return accountRank
        + "."
        + call.routeIfKnown().map(route -> Integer.toString(route.priority())).orElse(UNKNOWN);
  }
}
