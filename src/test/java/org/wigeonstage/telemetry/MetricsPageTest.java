package org.wigeonstage.telemetry;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.Json;

class MetricsPageTest {

  private final MetricRegistry registry = new MetricRegistry();

  MetricsPageTest() {
    registry.counter("callers.outcome.not-run").inc(3);
    registry.register("queue.waiting", (Gauge<Integer>) () -> 7);
    registry.register("build", (Gauge<String>) () -> "text");
    registry.timer("callers.firstPart").update(250, TimeUnit.MILLISECONDS);
  }

  @Test
  void metricsAreShownInThePrometheusFormat() {
    Approvals.verify(new MetricsPage(registry).text());
  }

  @Test
  void metricsAreShownAsJson() {
    assertThat(
            Json.parse(new MetricsPage(registry).json())
                .at("/counters/callers.outcome.not-run/count")
                .asInt())
        .isEqualTo(3);
  }
}
