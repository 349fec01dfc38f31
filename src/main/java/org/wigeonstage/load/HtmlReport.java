package org.wigeonstage.load;

import com.google.common.html.HtmlEscapers;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Formats the figures of runs as one HTML page, with its charts as embedded images. */
public final class HtmlReport {

  private static final int CHART_WIDTH = 900;
  private static final int CHART_HEIGHT = 320;
  private static final String STYLE =
      "body{font:15px/1.5 system-ui,sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem}"
          + "table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:.2rem .6rem;"
          + "text-align:right}th:first-child,td:first-child{text-align:left}img{max-width:100%}";

  private final StringBuilder out = new StringBuilder();

  private HtmlReport() {}

  /**
   * Returns the page for the given runs.
   *
   * @param title the page's title
   * @param runs the runs
   * @return HTML
   * @throws IOException if a chart can't be drawn
   */
  public static String of(String title, List<LoadSummary> runs) throws IOException {
    HtmlReport report = new HtmlReport();
    report.out.append("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>");
    report.out.append(escape(title)).append("</title><style>").append(STYLE);
    report.out.append("</style></head><body><h1>").append(escape(title)).append("</h1>");
    report.addPrefillChart(runs);
    for (LoadSummary run : runs) {
      report.addRun(run);
    }
    return report.out.append("</body></html>").toString();
  }

  private static String escape(String text) {
    return HtmlEscapers.htmlEscaper().escape(text);
  }

  private void addPrefillChart(List<LoadSummary> runs) throws IOException {
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(CHART_WIDTH)
            .height(CHART_HEIGHT)
            .title("prefill in tokens")
            .build();
    List<String> names = runs.stream().map(LoadSummary::name).toList();
    chart.getStyler().setXAxisLabelRotation(30);
    chart.addSeries("saved", names, runs.stream().map(LoadSummary::prefillSaved).toList());
    chart.addSeries("wasted", names, runs.stream().map(LoadSummary::prefillWasted).toList());
    addImage(chart, "Prefill saved and wasted");
  }

  private void addRun(LoadSummary run) throws IOException {
    out.append("<h2>").append(escape(run.name())).append("</h2><p>");
    out.append(
        escape(
            String.format(
                Locale.ROOT,
                "seed %d, %d s; prefill %d computed, %d saved, %d wasted; violations %d",
                run.seed(),
                run.seconds(),
                run.prefillComputed(),
                run.prefillSaved(),
                run.prefillWasted(),
                run.violations().total())));
    out.append("</p><table><thead><tr><th>tier</th><th>sent</th><th>good</th>");
    out.append("<th>completed</th><th>not run</th><th>unknown</th><th>first part p50</th>");
    out.append("<th>p95</th><th>p99 ms</th><th>gap p95 ms</th></tr></thead><tbody>");
    run.tiers().forEach(this::addTier);
    out.append("</tbody></table>");
    addGoodputChart(run);
  }

  private void addTier(TierSummary tier) {
    out.append("<tr>");
    long[] counts = {
      tier.tier(), tier.sent(), tier.good(), tier.completed(), tier.notRun(), tier.unknown()
    };
    for (long count : counts) {
      out.append("<td>").append(count).append("</td>");
    }
    double[] times = {
      tier.firstPartMillis().p50(),
      tier.firstPartMillis().p95(),
      tier.firstPartMillis().p99(),
      tier.gapMillisP95()
    };
    for (double time : times) {
      out.append("<td>").append(String.format(Locale.ROOT, "%.1f", time)).append("</td>");
    }
    out.append("</tr>");
  }

  private void addGoodputChart(LoadSummary run) throws IOException {
    XYChart chart =
        new XYChartBuilder()
            .width(CHART_WIDTH)
            .height(CHART_HEIGHT)
            .title("goodput by tier")
            .xAxisTitle("second in which the request was due")
            .yAxisTitle("good requests")
            .build();
    for (TierSummary tier : run.tiers()) {
      List<Integer> seconds = new ArrayList<>();
      for (int i = 0; i < tier.goodBySecond().size(); i++) {
        seconds.add(i);
      }
      chart
          .addSeries("tier " + tier.tier(), seconds, tier.goodBySecond())
          .setMarker(SeriesMarkers.NONE);
    }
    addImage(chart, "Goodput by tier over time");
  }

  private void addImage(Chart<?, ?> chart, String description) throws IOException {
    byte[] image = BitmapEncoder.getBitmapBytes(chart, BitmapFormat.PNG);
    out.append("<p><img alt=\"")
        .append(escape(description))
        .append("\" src=\"data:image/png;base64,");
    out.append(Base64.getEncoder().encodeToString(image)).append("\"></p>");
  }
}
