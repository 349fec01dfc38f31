package org.wigeonstage.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.wigeonstage.capacity.CapacitySummary;
import org.wigeonstage.capacity.PoolCapacity;
import org.wigeonstage.capacity.SpeedReport;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.placement.Locality;
import org.wigeonstage.placement.PlacementEffects;
import org.wigeonstage.placement.PoolScheduler;
import org.wigeonstage.placement.SchedulingLimits;
import org.wigeonstage.telemetry.DecisionLog;
import org.wigeonstage.telemetry.MetricName;

/**
 * What is learned about the servers of all pools, if the settings demand it. Guarded by the lock of
 * {@link GatewayCore}, except for the metrics, which read copies.
 */
final class ServerCapacities {

  private static final double NANOS_PER_MILLI = 1e6;
  private static final Duration UPDATE_INTERVAL = Duration.ofMillis(500);

  /** Bounds a message about a large pool. */
  private static final int MAX_REPORTS = 100;

  private final SchedulingLimits limits;
  private final Locality locality;
  private final MetricRegistry metrics;
  private final Map<String, PoolCapacity> pools = new HashMap<>();
  private Duration updatedAt = Duration.ZERO;
  private volatile Map<String, CapacitySummary> summaries = Map.of();

  ServerCapacities(boolean isLearned, Locality locality, MetricRegistry metrics) {
    this.locality = locality;
    this.limits = SchedulingLimits.DEFAULTS.withLearnedServerLimits(isLearned);
    this.metrics = metrics;
  }

  boolean areLearned() {
    return limits.learnsServerLimits();
  }

  PoolScheduler createScheduler(String pool, PlacementEffects effects, RandomGenerator random) {
    PoolScheduler scheduler = new PoolScheduler(limits, effects, random, locality);
    scheduler
        .capacity()
        .ifPresent(
            capacity -> {
              pools.put(pool, capacity);
              registerMetrics(pool);
            });
    return scheduler;
  }

  /** Records the mean time between some events of a response that still runs. */
  void recordPartialGap(String pool, BackendServer server, Duration gap, Duration now) {
    PoolCapacity capacity = pools.get(pool);
    if (capacity != null) {
      capacity.recordPartialGap(server.runId(), gap.toNanos() / NANOS_PER_MILLI, now);
    }
  }

  /** Returns the learned limit of a server; for tests. */
  int limit(String pool, BackendServer server) {
    return Objects.requireNonNull(pools.get(pool))
        .server(server.runId(), server.version(), server.slots())
        .limit();
  }

  private void registerMetrics(String pool) {
    registerGauge("capacity.limit.min", pool, CapacitySummary::smallestLimit);
    registerGauge("capacity.limit.median", pool, CapacitySummary::medianLimit);
    registerGauge("capacity.limit.max", pool, CapacitySummary::largestLimit);
    registerGauge("capacity.slowServers", pool, CapacitySummary::slowServers);
  }

  private void registerGauge(String name, String pool, ToIntFunction<CapacitySummary> figure) {
    CapacitySummary none = new CapacitySummary(0, 0, 0, 0);
    metrics.register(
        MetricName.of(name, "pool", pool),
        (Gauge<Integer>) () -> figure.applyAsInt(summaries.getOrDefault(pool, none)));
  }

  /** Returns what peers need to know now. */
  List<SpeedReport> takeReports(Duration now) {
    List<SpeedReport> reports = new ArrayList<>();
    for (PoolCapacity capacity : pools.values()) {
      reports.addAll(capacity.takeReports(MAX_REPORTS - reports.size(), now));
    }
    return reports;
  }

  /** Applies the reports of a peer; those beyond the number that a gateway sends are ignored. */
  void applyReports(String peer, List<SpeedReport> reports, Duration now) {
    reports.stream()
        .limit(MAX_REPORTS)
        .forEach(report -> pools.values().forEach(pool -> pool.applyReport(peer, report, now)));
  }

  /** Logs changes of limits, and updates the metrics. */
  void tick(Duration now) {
    if (now.minus(updatedAt).compareTo(UPDATE_INTERVAL) < 0) {
      return;
    }
    updatedAt = now;
    Map<String, CapacitySummary> current = new HashMap<>();
    pools.forEach(
        (pool, capacity) -> {
          capacity
              .takeLimitChanges()
              .forEach(
                  change ->
                      DecisionLog.write(
                          "server-limit",
                          "pool",
                          pool,
                          "server",
                          change.runId(),
                          "limit",
                          change.limit(),
                          "slots",
                          change.slots(),
                          "slownessPercent",
                          change.slownessPercent()));
          current.put(pool, capacity.summary());
        });
    summaries = current;
  }
}
