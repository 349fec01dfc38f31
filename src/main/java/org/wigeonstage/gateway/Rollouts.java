package org.wigeonstage.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.RepeatedTask;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.placement.PoolScheduler;
import org.wigeonstage.rollout.RolloutDirective;
import org.wigeonstage.rollout.RolloutOrder;
import org.wigeonstage.rollout.RolloutReport;
import org.wigeonstage.rollout.RolloutState;
import org.wigeonstage.settings.RolloutSettings;
import org.wigeonstage.telemetry.MetricName;

/**
 * The roll-outs of server versions, by pool. Does nothing until it is enabled. Guarded by the lock
 * of {@link GatewayCore}.
 */
final class Rollouts {

  /** Ten times the pools of the largest deployment; orders for further ones are ignored. */
  private static final int MAX_POOLS = 64;

  private final MetricRegistry metrics;
  private final Map<String, PoolRollout> pools = new HashMap<>();
  private Set<String> listedPools = Set.of();
  private @Nullable RolloutSettings settings;
  private RolloutWriter writer = (order, state) -> {};

  /** Writes states to the store without blocking. */
  interface RolloutWriter {
    void write(RolloutOrder order, RolloutState state);
  }

  Rollouts(MetricRegistry metrics) {
    this.metrics = metrics;
  }

  /** Enables roll-outs, before any pool is attached. */
  void enable(RolloutSettings newSettings, RolloutWriter newWriter) {
    settings = newSettings;
    writer = newWriter;
    metrics.register("rollouts.open", (Gauge<Long>) this::countOpen);
  }

  private long countOpen() {
    return Map.copyOf(pools).values().stream().filter(PoolRollout::isOpen).count();
  }

  /** Makes the scheduler of a pool ask which versions may get requests. */
  PoolScheduler attach(String pool, PoolScheduler scheduler) {
    pool(pool).ifPresent(rollout -> rollout.attach(scheduler));
    return scheduler;
  }

  private Optional<PoolRollout> pool(String name) {
    RolloutSettings current = settings;
    PoolRollout known = pools.get(name);
    if (known != null || current == null || pools.size() >= MAX_POOLS) {
      return Optional.ofNullable(known);
    }
    PoolRollout added = new PoolRollout(name, current, this::startWrite);
    pools.put(name, added);
    return Optional.of(added);
  }

  private void startWrite(RolloutOrder order, RolloutState state) {
    writer.write(order, state);
  }

  void recordArrival(String pool) {
    PoolRollout rollout = pools.get(pool);
    if (rollout != null) {
      rollout.recordArrival();
    }
  }

  /** Records a response as evidence about the version of its server. */
  void recordResponse(
      String pool,
      String route,
      BackendServer server,
      boolean isFailure,
      Duration firstPart,
      Duration duration) {
    PoolRollout rollout = pools.get(pool);
    if (rollout != null && rollout.isOpen()) {
      boolean isOfTarget = rollout.recordResponse(route, server, isFailure, firstPart, duration);
      metrics
          .counter(
              MetricName.of(
                  "rollouts.responses",
                  "version",
                  isOfTarget ? "target" : "other",
                  "outcome",
                  isFailure ? "failed" : "served"))
          .inc();
    }
  }

  /** Applies the orders that the store holds; of several for a pool, the latest. */
  void applyOrders(List<RolloutOrder> orders, Duration now) {
    Set<String> ordered = new HashSet<>();
    for (RolloutOrder order : orders) {
      ordered.add(order.pool());
      pool(order.pool()).ifPresent(rollout -> rollout.applyOrder(order, "store", now));
    }
    // An order that only peers know yet was not removed.
    Sets.difference(listedPools, ordered)
        .forEach(name -> pool(name).ifPresent(PoolRollout::removeOrder));
    listedPools = ordered;
  }

  void applyReport(String gateway, RolloutReport report, Duration now) {
    pool(report.order().pool()).ifPresent(rollout -> rollout.applyReport(gateway, report, now));
  }

  void applyDirective(RolloutDirective directive, Duration now) {
    pool(directive.order().pool()).ifPresent(rollout -> rollout.applyDirective(directive, now));
  }

  /** Applies what the store holds after a write, which may be another order. */
  void writeEnded(RolloutOrder current, Duration now) {
    pool(current.pool()).ifPresent(rollout -> rollout.writeEnded(current, now));
  }

  void writeFailed(RolloutOrder order, Duration now) {
    pool(order.pool()).ifPresent(rollout -> rollout.writeFailed(now));
  }

  /** Updates the filters, and exchanges evidence and steps with the peers. */
  void tick(RolloutLinks links, Duration now) {
    pools.forEach(
        (name, rollout) ->
            RepeatedTask.runPart("rollout of " + name, () -> rollout.tick(links, now)));
  }
}
