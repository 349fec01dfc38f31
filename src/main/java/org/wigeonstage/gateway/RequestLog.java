package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wigeonstage.common.MonotonicClock;

/**
 * The decisions on one request, kept until its end, so that all of its lines are written or none.
 */
final class RequestLog {

  private final String requestId;
  private final Duration beganAt;
  private final MonotonicClock clock;
  private final List<Step> steps = new ArrayList<>();
  private boolean notable;

  RequestLog(String requestId, Duration beganAt, MonotonicClock clock) {
    this.requestId = requestId;
    this.beganAt = beganAt;
    this.clock = clock;
  }

  /** One decision with what it rests on. */
  final class Step {

    private final Map<String, Object> fields = new LinkedHashMap<>();

    Step put(String name, Object value) {
      fields.put(name, value);
      return this;
    }

    /** Marks the request as one whose lines are always written. */
    Step notable() {
      RequestLog.this.notable = true;
      return this;
    }

    Map<String, Object> fields() {
      return fields;
    }
  }

  Step step(String event) {
    Step step =
        new Step()
            .put("event", event)
            .put("request", requestId)
            .put("sinceArrivalMillis", clock.elapsed().minus(beganAt).toMillis());
    steps.add(step);
    return step;
  }

  String requestId() {
    return requestId;
  }

  Duration beganAt() {
    return beganAt;
  }

  boolean isNotable() {
    return notable;
  }

  List<Step> steps() {
    return steps;
  }
}
