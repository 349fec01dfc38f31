package org.wigeonstage.gateway;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.wigeonstage.http.ServerConnectionEnd;
import org.wigeonstage.http.ServerConnectionListener;
import org.wigeonstage.telemetry.MetricName;

/**
 * Counts the ends of connections to servers, and logs errors on connections without a call. What
 * cut a response is in the log of its request.
 */
final class ServerConnectionEndRecorder implements ServerConnectionListener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The interval in seconds between two log lines. */
  private static final int LOG_INTERVAL_SECONDS = 1;

  private final MetricRegistry metrics;

  ServerConnectionEndRecorder(MetricRegistry metrics) {
    this.metrics = metrics;
  }

  @Override
  public void onClose(ServerConnectionEnd end) {
    String reason = end.reason().name().toLowerCase(Locale.ROOT);
    metrics
        .counter(
            MetricName.of(
                "backend.connections", "reason", reason, "cut", Boolean.toString(end.isCut())))
        .inc();
    if (end.reason().isError() && !end.isCut()) {
      logger.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
          "closed a connection to server %s: %s", end.server(), reason);
    }
  }
}
