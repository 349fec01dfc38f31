package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wigeonstage.http.RequestHandler;
import org.wigeonstage.http.ServerExchange;
import org.wigeonstage.telemetry.DecisionLog;

/**
 * Takes callers' requests through the filters to their placement.
 *
 * <p>Requests that come before the configuration is known wait a moment for it, because it takes a
 * few hundred milliseconds after a start. A request that came with its connection may have waited
 * long for acceptance; it goes on once all is read that its caller sent, the end of the connection
 * included. While reading is behind, requests wait until it is known whether their callers have
 * left, which is read from their connections after the requests.
 */
final class CallerRequestHandler implements RequestHandler {

  /** The longest time that a request waits for the first configuration. */
  private static final Duration MAX_START_WAIT = Duration.ofMillis(700);

  /** The longest time that a request waits for the news whether its caller has left. */
  private static final Duration MAX_UNSURE = Duration.ofSeconds(1);

  private static final int MAX_EARLY_CALLS = 500;

  private final GatewayCore core;
  private final ConfigurationState beliefs;
  private final ReadLagMonitor lag;
  private final List<InboundFilter> filters;
  private final Deque<InboundRequest> early = new ArrayDeque<>();
  private final Set<InboundRequest> unadmitted = new HashSet<>();

  CallerRequestHandler(
      GatewayCore core, ConfigurationState beliefs, ReadLagMonitor lag, Duration grace) {
    this.core = core;
    this.beliefs = beliefs;
    this.lag = lag;
    this.filters =
        List.of(
            new ConfigurationFreshnessFilter(beliefs),
            new RouteFilter(),
            new LeavingFilter(core, grace),
            new AuthenticationFilter(),
            new QuotaFilter(core));
  }

  @Override
  public void handle(ServerExchange exchange) {
    core.run(() -> take(exchange));
  }

  private void take(ServerExchange exchange) {
    InboundRequest call =
        new InboundRequest(
            exchange,
            core.dialect().decodeRequest(exchange.fields()),
            lag.arrivalTime(),
            core.now());
    exchange.onDisconnect(call::markGone);
    lag.read(exchange::afterPendingReads);
    unadmitted.add(call);
    if (exchange.arrival().isFirstCycle() && !core.hasStopped()) {
      exchange.afterPendingReads(() -> core.run(() -> admit(call)));
    } else {
      admit(call);
    }
  }

  private void admit(InboundRequest call) {
    if (isToWait() && early.size() < MAX_EARLY_CALLS) {
      early.addLast(call);
    } else {
      filter(call);
    }
  }

  private boolean isToWait() {
    return !core.hasStopped() && (isStarting() || lag.isBehind());
  }

  private boolean isStarting() {
    return beliefs.routing().isEmpty() || !core.knowsServers();
  }

  /** Returns how many requests were read and have neither passed the filters nor been answered. */
  int unadmitted() {
    return (int) unadmitted.stream().filter(call -> !call.isGone()).count();
  }

  /** Refuses all requests from now on, and those at once that were read and not admitted. */
  void stopTaking() {
    core.stopTaking();
    early.clear();
    List.copyOf(unadmitted).forEach(this::filter);
  }

  private void filter(InboundRequest call) {
    if (!unadmitted.remove(call)) {
      return; // refused when the process stopped taking requests
    }
    if (call.isGone()) {
      DecisionLog.write("caller-gone-early", "request", call.fields().requestId());
      return;
    }
    for (InboundFilter filter : filters) {
      Optional<Rejection> rejection = filter.apply(call);
      if (rejection.isPresent()) {
        core.rejectEarly(call, rejection.get());
        return;
      }
    }
    core.accept(call);
  }

  /** Returns whether the caller may have left without this being known. */
  private boolean isUnsure(InboundRequest call, Duration now) {
    return lag.isBehind()
        && !lag.isCaughtUpTo(call.readAt())
        && now.minus(call.readAt()).compareTo(MAX_UNSURE) < 0;
  }

  /** Goes on with requests that wait no longer. */
  void tick() {
    Duration now = core.now();
    while (!early.isEmpty()) {
      boolean isOverdue = now.minus(early.getFirst().arrivedAt()).compareTo(MAX_START_WAIT) > 0;
      if ((isStarting() && !isOverdue) || isUnsure(early.getFirst(), now)) {
        return;
      }
      filter(early.removeFirst());
    }
  }
}
