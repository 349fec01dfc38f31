package org.wigeonstage.gateway;

import java.time.Duration;
import org.wigeonstage.telemetry.DecisionLog;

/** Chooses the requests whose lines are written: all notable and slow ones, and a few others. */
final class RequestLogSampler {

  private static final Duration SLOW = Duration.ofSeconds(8);

  private final int oneIn;

  /** Creates a sampler that writes one in so many ordinary requests. */
  RequestLogSampler(int oneIn) {
    this.oneIn = oneIn;
  }

  void write(RequestLog trail, Duration now) {
    boolean isSampled = Math.floorMod(trail.requestId().hashCode(), oneIn) == 0;
    boolean isSlow = now.minus(trail.beganAt()).compareTo(SLOW) > 0;
    if (trail.isNotable() || isSlow || isSampled) {
      trail.steps().forEach(step -> DecisionLog.write(step.fields()));
    }
  }
}
