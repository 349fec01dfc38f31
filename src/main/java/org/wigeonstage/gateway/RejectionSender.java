package org.wigeonstage.gateway;

import java.nio.charset.StandardCharsets;
import org.wigeonstage.common.Json;
import org.wigeonstage.http.ProblemDetails;
import org.wigeonstage.request.HeaderFields;

/** Sends rejections to callers, and records them in the logs and the metrics. */
final class RejectionSender {

  private final RequestMetrics metrics;

  RejectionSender(RequestMetrics metrics) {
    this.metrics = metrics;
  }

  /**
   * Sends a rejection.
   *
   * @param fields the header fields of the response
   */
  void send(InboundRequest inbound, Rejection rejection, HeaderFields fields, RequestLog log) {
    log.addEntry("rejected")
        .put("code", rejection.code().text())
        .put("detail", rejection.detail())
        .markNotable();
    metrics.recordRejected(inbound, rejection.code());
    inbound
        .exchange()
        .respond(
            rejection.code().httpStatus(),
            fields,
            Json.write(ProblemDetails.json(rejection.code(), rejection.detail()))
                .getBytes(StandardCharsets.UTF_8));
  }
}
