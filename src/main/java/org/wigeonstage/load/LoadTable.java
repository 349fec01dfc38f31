package org.wigeonstage.load;

import java.util.Comparator;
import java.util.List;
import org.wigeonstage.load.TierSummary.Percentiles;
import org.wigeonstage.request.Outcome;

/** Formats a result as a table of text. */
public final class LoadTable {

  private static final String HEADER =
      String.format(
          "%-22s %4s %6s %6s %6s %6s %6s %8s %8s %8s %8s",
          "class", "tier", "sent", "good", "done", "notrun", "unkn", "p50 ms", "p95 ms", "p99 ms",
          "gap p95");

  private LoadTable() {}

  /**
   * Returns a header line and a line for each class of requests.
   *
   * <p>The percentiles p50 to p99 are those of the time to the first part of the response.
   *
   * @param result the result
   * @return lines of text
   */
  public static String of(LoadResult result) {
    StringBuilder table = new StringBuilder(HEADER).append(System.lineSeparator());
    result.experiment().classes().stream()
        .sorted(Comparator.comparingInt(RequestClass::tier))
        .forEach(
            requestClass ->
                table.append(line(result, requestClass)).append(System.lineSeparator()));
    return table.toString();
  }

  private static String line(LoadResult result, RequestClass requestClass) {
    List<RequestRecord> records =
        result.records().stream()
            .filter(record -> record.request().requestClass().equals(requestClass))
            .toList();
    Percentiles first =
        Summarizer.percentilesOf(
            Summarizer.histogramOf(records.stream().map(RequestRecord::firstPart)));
    Percentiles gaps =
        Summarizer.percentilesOf(
            Summarizer.histogramOf(records.stream().map(RequestRecord::meanGap)));
    return String.format(
        "%-22s %4d %6d %6d %6d %6d %6d %8.1f %8.1f %8.1f %8.1f",
        requestClass.name(),
        requestClass.tier(),
        records.size(),
        records.stream().filter(RequestRecord::isGood).count(),
        Summarizer.count(records, Outcome.COMPLETED),
        Summarizer.count(records, Outcome.NOT_RUN),
        Summarizer.count(records, Outcome.UNKNOWN),
        first.p50(),
        first.p95(),
        first.p99(),
        gaps.p95());
  }
}
