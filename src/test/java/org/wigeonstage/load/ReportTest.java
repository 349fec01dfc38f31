package org.wigeonstage.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

class ReportTest {

  private static LoadSummary summary(String name, long wasted) {
    TierSummary tier =
        new TierSummary(
            0, 10, 9, 8, 1, 0, new TierSummary.Percentiles(1, 2, 3), 30, List.of(4L, 4L));
    return new LoadSummary(
        name, 1, 2, List.of(tier), 100, 50, wasted, new LoadSummary.Violations(0, 0, 0, 0));
  }

  @Test
  void runsOfTheSameNameAreComparedSideBySide() {
    Approvals.verify(
        Comparison.of(List.of(summary("a", 40), summary("b", 1)), List.of(summary("a", 20))));
  }

  @Test
  void theHtmlReportContainsItsChartsAndEscapesItsTitle() throws IOException {
    String html = HtmlReport.of("runs <1>", List.of(summary("a", 40)));
    assertThat(html).contains("runs &lt;1&gt;").doesNotContain("http");
    assertThat(html.split("data:image/png;base64,", -1)).hasSize(3);
  }
}
