package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wigeonstage.forward.RequestFields;
import org.wigeonstage.http.RequestHandler;
import org.wigeonstage.http.ServerExchange;
import org.wigeonstage.telemetry.DecisionLog;

/**
 * Passes callers' requests through the filters and submits the admitted ones for placement.
 *
 * <p>A request waits to be filtered in three cases:
 *
 * <ul>
 *   <li>It arrives before the configuration is known, which takes a few hundred milliseconds to
 *       read after a start.
 *   <li>It arrived together with its connection, and may have waited long for the connection to be
 *       accepted. It waits until everything that its caller has sent is read, including the end of
 *       the connection.
 *   <li>The reading of requests lags behind their arrival. It waits until it is known whether its
 *       caller has disconnected, because the end of a connection is read after the requests on it.
 * </ul>
 */
final class CallerRequestHandler implements RequestHandler {

  /** Maximum time that a request waits for the first configuration. */
  private static final Duration MAX_CONFIGURATION_WAIT = Duration.ofMillis(700);

  /** Maximum time that a request waits until it is known whether its caller has disconnected. */
  private static final Duration MAX_DISCONNECT_WAIT = Duration.ofSeconds(1);

  /** Requests beyond this number are filtered at once. */
  private static final int MAX_DEFERRED_REQUESTS = 500;

  private final GatewayCore core;
  private final ConfigurationState configuration;
  private final ReadLagMonitor readLag;
  private final List<InboundFilter> filters;
  private final Deque<InboundRequest> deferred = new ArrayDeque<>();

  /** The requests that were read and are neither admitted nor rejected. */
  private final Set<InboundRequest> undecided = new HashSet<>();

  CallerRequestHandler(
      GatewayCore core, ConfigurationState configuration, ReadLagMonitor readLag, Duration grace) {
    this.core = core;
    this.configuration = configuration;
    this.readLag = readLag;
    this.filters =
        List.of(
            new ConfigurationFreshnessFilter(configuration),
            new RouteFilter(),
            new LeavingFilter(core, grace),
            new AuthenticationFilter(),
            new DelayFilter(core, readLag),
            new QuotaFilter(core));
  }

  @Override
  public void handle(ServerExchange exchange) {
    RequestFields fields = core.headerCodec().decodeRequest(exchange.fields());
    exchange.setLabel(fields.requestId());
    core.withLock(() -> receive(exchange, fields));
  }

  private void receive(ServerExchange exchange, RequestFields fields) {
    InboundRequest request =
        new InboundRequest(
            exchange, fields, exchange.arrival().limit(readLag.estimatedArrival()), core.now());
    exchange.onDisconnect(request::markDisconnected);
    readLag.recordRequest(exchange::afterPendingReads);
    undecided.add(request);
    // The caller may have waited for its connection to be accepted, and have disconnected since.
    if (exchange.arrival().isFirstCycle() && !core.hasStoppedAccepting()) {
      exchange.afterPendingReads(() -> core.withLock(() -> filterOrDefer(request)));
    } else {
      filterOrDefer(request);
    }
  }

  private void filterOrDefer(InboundRequest request) {
    if (mustDefer() && deferred.size() < MAX_DEFERRED_REQUESTS) {
      deferred.addLast(request);
    } else {
      filter(request);
    }
  }

  private boolean mustDefer() {
    return !core.hasStoppedAccepting() && (isStarting() || readLag.isBehind());
  }

  private boolean isStarting() {
    return configuration.current().isEmpty() || !core.hasServerList();
  }

  /** Returns the number of requests that were read and are neither admitted nor rejected. */
  int undecidedCount() {
    return (int) undecided.stream().filter(request -> !request.isDisconnected()).count();
  }

  /** Rejects all further requests, and at once those that were read and not yet admitted. */
  void stopAccepting() {
    core.stopAccepting();
    deferred.clear();
    List.copyOf(undecided).forEach(this::filter);
  }

  private void filter(InboundRequest request) {
    if (!undecided.remove(request)) {
      return; // rejected when the process stopped accepting requests
    }
    if (request.isDisconnected()) {
      DecisionLog.write("caller-gone-early", "request", request.fields().requestId());
      return;
    }
    try {
      rejectOrAdmit(request);
    } catch (RuntimeException | Error e) {
      core.guard().recordFailure(request.fields().requestId(), "admission", e);
      core.refundQuota(request);
      core.rejectUnadmitted(request, Rejection.ofError(false));
    }
  }

  private void rejectOrAdmit(InboundRequest request) {
    for (InboundFilter filter : filters) {
      Optional<Rejection> rejection = filter.apply(request);
      if (rejection.isPresent()) {
        core.rejectUnadmitted(request, rejection.get());
        return;
      }
    }
    core.admit(request);
  }

  /** Returns whether the caller may have disconnected without this process having read it yet. */
  private boolean mayHaveDisconnected(InboundRequest request, Duration now) {
    return readLag.isBehind()
        && !readLag.hasReadUpTo(request.readAt())
        && now.minus(request.readAt()).compareTo(MAX_DISCONNECT_WAIT) < 0;
  }

  /** Filters the deferred requests that need not wait any longer. */
  void tick() {
    Duration now = core.now();
    while (!deferred.isEmpty()) {
      boolean isOverdue =
          now.minus(deferred.getFirst().readAt()).compareTo(MAX_CONFIGURATION_WAIT) > 0;
      if ((isStarting() && !isOverdue) || mayHaveDisconnected(deferred.getFirst(), now)) {
        return;
      }
      filter(deferred.removeFirst());
    }
  }
}
