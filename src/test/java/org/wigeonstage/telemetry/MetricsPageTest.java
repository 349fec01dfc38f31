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
  void metricsThatDifferOnlyInLabelsShareATypeLine() {
    MetricRegistry labelled = new MetricRegistry();
    labelled.counter(MetricName.of("requests", "tier", "0.1", "outcome", "served")).inc(2);
    labelled.counter(MetricName.of("requests", "tier", "0.2", "outcome", "a \"b\"")).inc();
    labelled.timer(MetricName.of("firstPart", "tier", "0.1")).update(250, TimeUnit.MILLISECONDS);
    assertThat(new MetricsPage(labelled).text().lines())
        .containsExactly(
            "# TYPE wigeonstage_firstPart summary",
            "wigeonstage_firstPart{tier=\"0.1\",quantile=\"0.5\"} 0.25",
            "wigeonstage_firstPart{tier=\"0.1\",quantile=\"0.95\"} 0.25",
            "wigeonstage_firstPart{tier=\"0.1\",quantile=\"0.99\"} 0.25",
            "wigeonstage_firstPart_count{tier=\"0.1\"} 1",
            "# TYPE wigeonstage_requests_total counter",
            "wigeonstage_requests_total{tier=\"0.1\",outcome=\"served\"} 2",
            "wigeonstage_requests_total{tier=\"0.2\",outcome=\"a \\\"b\\\"\"} 1");
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
