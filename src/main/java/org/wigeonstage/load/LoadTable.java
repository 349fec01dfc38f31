package org.wigeonstage.load;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.request.Outcome;

/** Shows a result as a table of text. */
public final class LoadTable {

  private static final String HEADER =
      String.format(
          "%-22s %4s %6s %6s %6s %6s %6s %8s %8s %8s %8s",
          "class", "tier", "sent", "good", "done", "notrun", "unkn", "p50 ms", "p95 ms", "p99 ms",
          "gap p95");
  private static final double MICROS_PER_MILLI = 1000;

  private LoadTable() {}

  /**
   * Returns a line for each class of requests.
   *
   * <p>Latencies are those of the first part of the answer.
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
    Histogram first = histogram(records.stream().map(RequestRecord::firstPart));
    Histogram gaps = histogram(records.stream().map(RequestRecord::meanGap));
    return String.format(
        "%-22s %4d %6d %6d %6d %6d %6d %8.1f %8.1f %8.1f %8.1f",
        requestClass.name(),
        requestClass.tier(),
        records.size(),
        records.stream().filter(RequestRecord::isGood).count(),
        count(records, Outcome.COMPLETED),
        count(records, Outcome.NOT_RUN),
        count(records, Outcome.UNKNOWN),
        first.getValueAtPercentile(50) / MICROS_PER_MILLI,
        first.getValueAtPercentile(95) / MICROS_PER_MILLI,
        first.getValueAtPercentile(99) / MICROS_PER_MILLI,
        gaps.getValueAtPercentile(95) / MICROS_PER_MILLI);
  }

  private static long count(List<RequestRecord> records, Outcome outcome) {
    return records.stream().filter(record -> record.outcome() == outcome).count();
  }

  private static Histogram histogram(Stream<@Nullable Duration> durations) {
    Histogram histogram = new Histogram(3);
    histogram.setAutoResize(true);
    durations
        .filter(Objects::nonNull)
        .forEach(duration -> histogram.recordValue(Math.max(0, duration.toNanos() / 1000)));
    return histogram;
  }
}
