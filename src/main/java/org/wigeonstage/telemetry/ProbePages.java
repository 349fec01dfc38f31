package org.wigeonstage.telemetry;

import com.codahale.metrics.MetricRegistry;
import java.util.function.BooleanSupplier;
import org.wigeonstage.http.ServerExchange;

/** The pages of the operators' port that every process has: probes and metrics. */
public final class ProbePages {

  private static final String TEXT = "text/plain";
  private static final String JSON = "application/json";
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final MetricsPage metrics;
  private final BooleanSupplier readiness;

  /**
   * Creates the pages.
   *
   * @param registry the metrics to show
   * @param readiness tells whether the process takes requests
   */
  public ProbePages(MetricRegistry registry, BooleanSupplier readiness) {
    this.metrics = new MetricsPage(registry);
    this.readiness = readiness;
  }

  /**
   * Answers a request for one of the pages.
   *
   * @param exchange the request
   * @return whether it was one, and is answered
   */
  public boolean handle(ServerExchange exchange) {
    switch (exchange.method() + " " + exchange.path()) {
      case "GET /healthz" -> exchange.respond(OK, TEXT, "ok\n");
      case "GET /readyz" -> respondReadiness(exchange);
      case "GET /metrics" -> exchange.respond(OK, MetricsPage.TEXT_TYPE, metrics.text());
      case "GET /metrics.json" -> exchange.respond(OK, JSON, metrics.json());
      default -> {
        return false;
      }
    }
    return true;
  }

  private void respondReadiness(ServerExchange exchange) {
    boolean ready = readiness.getAsBoolean();
    exchange.respond(ready ? OK : UNAVAILABLE, TEXT, ready ? "ready\n" : "not ready\n");
  }
}
