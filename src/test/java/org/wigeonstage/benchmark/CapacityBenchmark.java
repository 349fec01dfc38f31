package org.wigeonstage.benchmark;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.handover.LoadReport;
import org.wigeonstage.handover.Message;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.load.Experiment;
import org.wigeonstage.load.LoadGenerator;
import org.wigeonstage.load.LoadResult;
import org.wigeonstage.load.RequestClass;
import org.wigeonstage.load.Summarizer;
import org.wigeonstage.load.TierSummary;
import org.wigeonstage.system.BenchmarkFleet;
import org.wigeonstage.wire.MessageEncoder;

/**
 * Measures the processor time and memory that an entry and an agent, each in its own process, use
 * for requests, for streamed tokens and while idle, and the latency that they add to a call. Not
 * part of the tests.
 */
public final class CapacityBenchmark {

  private static final int MEASUREMENT_SECONDS = 10;

  /** The unit of the processor times in {@code /proc/PID/stat}. */
  private static final double CLOCK_TICKS_PER_SECOND = 100;

  private CapacityBenchmark() {}

  /** Runs all measurements, or only those of streams if the argument is {@code streams}. */
  public static void main(String[] args) throws Exception {
    printFrameSizes();
    try (BenchmarkFleet fleet = BenchmarkFleet.start(4)) {
      measureIdle(fleet);
      boolean streamsOnly = args.length > 0 && args[0].equals("streams");
      if (!streamsOnly) {
        measureAddedLatency(fleet);
        for (int rate : new int[] {400, 1200}) {
          measureCalls(fleet, rate);
        }
      }
      for (int rate : new int[] {20, 60, 90}) {
        measureStreams(fleet, rate);
      }
    }
  }

  private static void printFrameSizes() {
    LoadReport load = new LoadReport(12, 16, 7, 40_000, 512.5, 3, LoadReport.IDLE.headroomByTier());
    System.out.printf(
        "frame bytes with length: ping %d, pong %d%n",
        4 + MessageEncoder.encode(new Message.Ping(100_000, 5_000)).length,
        4 + MessageEncoder.encode(new Message.Pong(100_000, 5_000, load)).length);
  }

  /** The processor time and resident memory that a process has used. */
  private record Usage(double cpuSeconds, long residentKilobytes) {

    static Usage of(long pid) throws IOException {
      String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
      String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
      double userAndSystemTicks = Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
      long residentKilobytes =
          Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
              .filter(line -> line.startsWith("VmRSS:"))
              .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
              .sum();
      return new Usage(userAndSystemTicks / CLOCK_TICKS_PER_SECOND, residentKilobytes);
    }

    String since(Usage before, double seconds) {
      return String.format(
          "%.2f %% of a core, %d MB",
          100 * (cpuSeconds - before.cpuSeconds) / seconds, residentKilobytes / 1024);
    }
  }

  private static void measureIdle(BenchmarkFleet fleet) throws Exception {
    Thread.sleep(5000);
    Usage entry = Usage.of(fleet.entryPid());
    Usage agent = Usage.of(fleet.agentPid());
    Thread.sleep(MEASUREMENT_SECONDS * 1000);
    System.out.printf(
        "idle, 4 links: entry %s; agent %s%n",
        Usage.of(fleet.entryPid()).since(entry, MEASUREMENT_SECONDS),
        Usage.of(fleet.agentPid()).since(agent, MEASUREMENT_SECONDS));
  }

  private static RequestClass calls(double rate, String target) {
    return new RequestClass(
        "call", 0, BenchmarkFleet.ACCOUNT_KEY, target, false, rate, 0, 0, 50, 1, false, false, 790);
  }

  private static RequestClass streams(double rate) {
    return new RequestClass(
        "stream",
        0,
        BenchmarkFleet.ACCOUNT_KEY,
        "test-model",
        true,
        rate,
        0,
        0,
        50,
        200,
        true,
        false,
        790);
  }

  private static TierSummary generateLoad(RequestClass requestClass, Endpoint target)
      throws InterruptedException, IOException {
    try (HttpClient client = HttpClient.start("load", 2)) {
      LoadGenerator generator =
          new LoadGenerator(client, MonotonicClock.system(), InstantSource.system(), line -> {});
      Experiment experiment =
          new Experiment("capacity", 1, MEASUREMENT_SECONDS, List.of(requestClass), List.of());
      LoadResult result = generator.run(experiment, List.of(target));
      return Summarizer.tiersOf(result).get(0);
    }
  }

  private static void measureAddedLatency(BenchmarkFleet fleet) throws Exception {
    // The first two runs warm up the processes; their results are not used.
    generateLoad(calls(200, "/services/portal/x"), fleet.entryEndpoint());
    generateLoad(calls(200, "/x"), fleet.serviceEndpoint());
    TierSummary direct = generateLoad(calls(200, "/x"), fleet.serviceEndpoint());
    TierSummary throughEntry =
        generateLoad(calls(200, "/services/portal/x"), fleet.entryEndpoint());
    System.out.printf(
        "200 calls/s: direct %s, through entry and agent %s; added p50 %.2f ms, p99 %.2f ms%n",
        direct.firstPartMillis(),
        throughEntry.firstPartMillis(),
        throughEntry.firstPartMillis().p50() - direct.firstPartMillis().p50(),
        throughEntry.firstPartMillis().p99() - direct.firstPartMillis().p99());
  }

  private static void measureCalls(BenchmarkFleet fleet, int rate) throws Exception {
    Usage entry = Usage.of(fleet.entryPid());
    Usage agent = Usage.of(fleet.serviceAgentPid());
    Duration startedAt = MonotonicClock.system().elapsed();
    TierSummary summary = generateLoad(calls(rate, "/services/portal/x"), fleet.entryEndpoint());
    double seconds = MonotonicClock.system().elapsed().minus(startedAt).toMillis() / 1000.0;
    System.out.printf(
        "%d calls/s: completed %d of %d, %s; entry %s; agent %s%n",
        rate,
        summary.completed(),
        summary.sent(),
        summary.firstPartMillis(),
        Usage.of(fleet.entryPid()).since(entry, seconds),
        Usage.of(fleet.serviceAgentPid()).since(agent, seconds));
  }

  private static void measureStreams(BenchmarkFleet fleet, int rate) throws Exception {
    Usage entry = Usage.of(fleet.entryPid());
    Usage agent = Usage.of(fleet.agentPid());
    Duration startedAt = MonotonicClock.system().elapsed();
    TierSummary summary = generateLoad(streams(rate), fleet.entryEndpoint());
    double seconds = MonotonicClock.system().elapsed().minus(startedAt).toMillis() / 1000.0;
    System.out.printf(
        "%d streams/s of 200 tokens: completed %d of %d, %.0f tokens/s, %s, gap p95 %.1f;"
            + " entry %s; one of four agents %s%n",
        rate,
        summary.completed(),
        summary.sent(),
        summary.completed() * 200 / seconds,
        summary.firstPartMillis(),
        summary.gapMillisP95(),
        Usage.of(fleet.entryPid()).since(entry, seconds),
        Usage.of(fleet.agentPid()).since(agent, seconds));
  }
}
