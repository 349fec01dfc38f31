package org.wigeonstage.gateway;

import java.time.Duration;
import org.wigeonstage.telemetry.DecisionLog;

/** Writes the logs of all notable or slow requests, and of a sample of the others. */
final class RequestLogSampler {

  private static final Duration SLOW_THRESHOLD = Duration.ofSeconds(8);

  private final int oneIn;

  /** Creates a sampler that writes the log of one in {@code oneIn} ordinary requests. */
  RequestLogSampler(int oneIn) {
    this.oneIn = oneIn;
  }

  /** Writes the log of a request that has ended, if it is notable, slow or part of the sample. */
  void write(RequestLog log, Duration now) {
    boolean isSampled = Math.floorMod(log.requestId().hashCode(), oneIn) == 0;
    boolean isSlow = now.minus(log.arrivedAt()).compareTo(SLOW_THRESHOLD) > 0;
    if (log.isNotable() || isSlow || isSampled) {
      log.entries().forEach(entry -> DecisionLog.write(entry.fields()));
    }
  }
}
