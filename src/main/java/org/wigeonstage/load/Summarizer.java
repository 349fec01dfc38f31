package org.wigeonstage.load;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.load.TierSummary.Percentiles;
import org.wigeonstage.request.Outcome;

/** Computes the figures of a run from what callers observed. */
public final class Summarizer {

  private static final double MICROS_PER_MILLI = 1000;
  private static final int NANOS_PER_MICRO = 1000;

  private Summarizer() {}

  /**
   * Returns the figures of each tier.
   *
   * @param result what the callers observed
   * @return the tiers that have requests, the highest first
   */
  public static List<TierSummary> tiersOf(LoadResult result) {
    return result.experiment().classes().stream()
        .map(RequestClass::tier)
        .distinct()
        .sorted()
        .map(tier -> summarize(result, tier))
        .toList();
  }

  /**
   * Returns the figures of a run for which the counts of backend servers are not available.
   *
   * @param result what the callers observed
   * @return the figures, with 0 for those that need these counts
   */
  public static LoadSummary summarizeCallers(LoadResult result) {
    return new LoadSummary(
        result.experiment().name(),
        result.experiment().seed(),
        result.experiment().seconds(),
        tiersOf(result),
        0,
        0,
        0,
        new LoadSummary.Violations(result.wrongResponses(), 0, 0, result.open()));
  }

  private static TierSummary summarize(LoadResult result, int tier) {
    List<RequestRecord> records =
        result.records().stream()
            .filter(record -> record.request().requestClass().tier() == tier)
            .toList();
    Stream<RequestRecord> completed =
        records.stream().filter(record -> record.outcome() == Outcome.COMPLETED);
    Histogram gaps = histogramOf(records.stream().map(RequestRecord::meanGap));
    return new TierSummary(
        tier,
        records.size(),
        count(records, Outcome.COMPLETED),
        records.stream().filter(RequestRecord::isGood).count(),
        count(records, Outcome.NOT_RUN),
        count(records, Outcome.UNKNOWN),
        percentilesOf(histogramOf(completed.map(RequestRecord::firstPart))),
        gaps.getValueAtPercentile(95) / MICROS_PER_MILLI,
        goodBySecond(records, result.experiment().seconds()));
  }

  static long count(List<RequestRecord> records, Outcome outcome) {
    return records.stream().filter(record -> record.outcome() == outcome).count();
  }

  private static List<Long> goodBySecond(List<RequestRecord> records, int seconds) {
    long[] counts = new long[seconds];
    records.stream()
        .filter(RequestRecord::isGood)
        .forEach(record -> counts[(int) record.request().sendOffset().toSeconds()]++);
    return LongStream.of(counts).boxed().toList();
  }

  /** Returns a histogram, in microseconds, of the durations that are not null. */
  static Histogram histogramOf(Stream<@Nullable Duration> durations) {
    Histogram histogram = new Histogram(3);
    histogram.setAutoResize(true);
    durations
        .filter(Objects::nonNull)
        .forEach(
            duration -> histogram.recordValue(Math.max(0, duration.toNanos() / NANOS_PER_MICRO)));
    return histogram;
  }

  /** Returns percentiles in milliseconds of a histogram in microseconds. */
  static Percentiles percentilesOf(Histogram histogram) {
    return new Percentiles(
        histogram.getValueAtPercentile(50) / MICROS_PER_MILLI,
        histogram.getValueAtPercentile(95) / MICROS_PER_MILLI,
        histogram.getValueAtPercentile(99) / MICROS_PER_MILLI);
  }
}
