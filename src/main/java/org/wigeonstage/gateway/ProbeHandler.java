package org.wigeonstage.gateway;

import java.util.Map;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.http.ProblemDetails;
import org.wigeonstage.http.RequestHandler;
import org.wigeonstage.http.ServerExchange;
import org.wigeonstage.telemetry.ProbePages;

/** Responds to health checks and serves the metrics page. */
final class ProbeHandler implements RequestHandler {

  private final ProbePages pages;

  ProbeHandler(ProbePages pages) {
    this.pages = pages;
  }

  @Override
  public void handle(ServerExchange exchange) {
    if (!pages.handle(exchange)) {
      ProblemDetails.respond(
          exchange, ErrorCode.NOT_FOUND, "there is no resource at " + exchange.path(), Map.of());
    }
  }
}
