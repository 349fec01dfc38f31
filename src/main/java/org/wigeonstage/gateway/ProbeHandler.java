package org.wigeonstage.gateway;

import java.util.Map;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.http.ProblemDetails;
import org.wigeonstage.http.RequestHandler;
import org.wigeonstage.http.ServerExchange;
import org.wigeonstage.telemetry.ProbePages;

/** Answers readiness checks and serves metrics. */
final class ProbeHandler implements RequestHandler {

  private final ProbePages pages;

  ProbeHandler(ProbePages pages) {
    this.pages = pages;
  }

  @Override
  public void handle(ServerExchange exchange) {
    if (!pages.handle(exchange)) {
      ProblemDetails.respond(
          exchange, ErrorCode.NOT_FOUND, "nothing at " + exchange.path(), Map.of());
    }
  }
}
