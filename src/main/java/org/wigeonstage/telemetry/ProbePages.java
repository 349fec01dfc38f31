package org.wigeonstage.telemetry;

import com.codahale.metrics.MetricRegistry;
import java.util.function.BooleanSupplier;
import org.wigeonstage.http.ServerExchange;

/** Serves health probes and metrics on the operators' port of a process. */
public final class ProbePages {

  private static final String TEXT_TYPE = "text/plain";
  private static final String JSON_TYPE = "application/json";
  private static final int OK = 200;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final MetricsPage metrics;
  private final BooleanSupplier readiness;

  /**
   * Creates the pages.
   *
   * @param registry the metrics
   * @param readiness returns whether the process accepts requests
   */
  public ProbePages(MetricRegistry registry, BooleanSupplier readiness) {
    this.metrics = new MetricsPage(registry);
    this.readiness = readiness;
  }

  /**
   * Responds to a request if it is for one of these pages.
   *
   * @param exchange the request
   * @return whether the request was for one of these pages
   */
  public boolean handle(ServerExchange exchange) {
    switch (exchange.method() + " " + exchange.path()) {
      case "GET /healthz" -> exchange.respond(OK, TEXT_TYPE, "ok\n");
      case "GET /readyz" -> respondWithReadiness(exchange);
      case "GET /metrics" -> exchange.respond(OK, MetricsPage.PROMETHEUS_TEXT_TYPE, metrics.text());
      case "GET /metrics.json" -> exchange.respond(OK, JSON_TYPE, metrics.json());
      default -> {
        return false;
      }
    }
    return true;
  }

  private void respondWithReadiness(ServerExchange exchange) {
    boolean isReady = readiness.getAsBoolean();
    exchange.respond(
        isReady ? OK : SERVICE_UNAVAILABLE, TEXT_TYPE, isReady ? "ready\n" : "not ready\n");
  }
}
