package org.wigeonstage.gateway;

import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import org.wigeonstage.http.ConnectionEnd;
import org.wigeonstage.http.ConnectionListener;
import org.wigeonstage.telemetry.DecisionLog;
import org.wigeonstage.telemetry.MetricName;

/** Counts the ends of callers' connections, and logs those that left a response incomplete. */
final class ConnectionEndRecorder implements ConnectionListener {

  private final MetricRegistry metrics;

  ConnectionEndRecorder(MetricRegistry metrics) {
    this.metrics = metrics;
  }

  @Override
  public void onClose(ConnectionEnd end) {
    String reason = end.reason().name().toLowerCase(Locale.ROOT);
    metrics
        .counter(
            MetricName.of(
                "connections", "reason", reason, "cut", Boolean.toString(end.isIncomplete())))
        .inc();
    if (end.isIncomplete()) {
      DecisionLog.write(
          "connection-cut",
          "reason",
          reason,
          "request",
          String.valueOf(end.currentRequest()),
          "cause",
          String.valueOf(end.cause()),
          "unansweredRequests",
          end.unansweredRequests(),
          "untakenBytes",
          end.undeliveredBytes());
    }
  }
}
