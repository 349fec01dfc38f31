package org.wigeonstage.gateway;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingWindowReservoir;
import com.codahale.metrics.Timer;
import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.Locale;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.http.Arrival;
import org.wigeonstage.routes.Route;
import org.wigeonstage.telemetry.MetricName;

/**
 * Counts callers' requests by kind, urgency, pool and outcome, and times their responses.
 *
 * <p>The label "tier" holds the urgency: the account rank, a dot and the route rank. Requests are
 * counted by account in a separate metric, so that the number of counters grows with the sum of
 * accounts and other labels, not with their product.
 */
final class RequestMetrics {

  private static final String UNKNOWN = "unknown";

  /**
   * The number of the latest values from which quantiles are computed, as many as the default
   * reservoir keeps. That one keeps a weighted sample in a sorted map, whose updates took a tenth
   * of the time spent on responses of servers.
   */
  private static final int TIMER_WINDOW = 1028;

  private final MetricRegistry registry;

  RequestMetrics(MetricRegistry registry) {
    this.registry = registry;
  }

  /**
   * Records the longest possible read delay of a request, and its handling delay after the reading.
   */
  void recordArrival(Arrival arrival, Duration handledAt) {
    timer("callers.unread").update(arrival.maxReadDelay());
    timer("callers.unhandled").update(handledAt.minus(arrival.readAt()));
  }

  /** Records the delay between the reading and the handling of the end of a connection. */
  void recordDisconnect(Duration handlingDelay) {
    timer("callers.endUnhandled").update(handlingDelay);
  }

  /** Records the interval between two ticks. */
  void recordTickInterval(Duration interval) {
    timer("control.interval").update(interval);
  }

  /** Records the time from the placement of a request until it was written to a connection. */
  void recordWriteTime(Duration writeTime) {
    timer("attempts.written").update(writeTime);
  }

  /** Records how much later than expected the first part of a response arrived, if it did. */
  void recordFirstPartExcess(Duration excess) {
    timer("attempts.firstPartExcess").update(Comparators.max(excess, Duration.ZERO));
  }

  /** Counts a request that a backend server responded to, and records the response times. */
  void recordServed(ForwardedRequest request, Duration timeToFirstPart, Duration totalDuration) {
    count(request.inbound(), request.poolName(), "served");
    time("firstPart", request, timeToFirstPart);
    time("duration", request, totalDuration);
  }

  /**
   * Counts a request that got an error response from the gateway itself, under the first pool of
   * its route, even if it was placed in another one.
   */
  void recordRejected(InboundRequest inbound, ErrorCode code) {
    String poolName =
        inbound.routeIfKnown().map(route -> route.pools().get(0).pool()).orElse(UNKNOWN);
    count(inbound, poolName, code.text());
  }

  /** Counts a request that ended without a complete response. */
  void recordIncomplete(ForwardedRequest request, RequestOutcome outcome) {
    count(request.inbound(), request.poolName(), outcome.name().toLowerCase(Locale.ROOT));
  }

  private void count(InboundRequest inbound, String poolName, String outcome) {
    String kind = inbound.routeIfKnown().map(RequestMetrics::kindOf).orElse(UNKNOWN);
    registry
        .counter(
            MetricName.of(
                "requests",
                "kind",
                kind,
                "tier",
                tierOf(inbound),
                "pool",
                poolName,
                "outcome",
                outcome))
        .inc();
    inbound
        .account()
        .ifPresent(
            account ->
                registry
                    .counter(
                        MetricName.of("accounts", "account", account.name(), "outcome", outcome))
                    .inc());
  }

  private void time(String name, ForwardedRequest request, Duration duration) {
    InboundRequest inbound = request.inbound();
    timer(
            MetricName.of(
                name,
                "kind",
                kindOf(inbound.route()),
                "tier",
                tierOf(inbound),
                "pool",
                request.poolName()))
        .update(duration);
  }

  private Timer timer(String name) {
    return registry.timer(name, () -> new Timer(new SlidingWindowReservoir(TIMER_WINDOW)));
  }

  private static String kindOf(Route route) {
    return route.kind().name().toLowerCase(Locale.ROOT);
  }

  private static String tierOf(InboundRequest inbound) {
    String accountRank =
        inbound.account().map(account -> Integer.toString(account.rank())).orElse("0");
    return accountRank
        + "."
        + inbound.routeIfKnown().map(route -> Integer.toString(route.rank())).orElse(UNKNOWN);
  }
}
