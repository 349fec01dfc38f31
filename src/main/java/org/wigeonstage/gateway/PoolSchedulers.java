package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.wigeonstage.common.RepeatedTask;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.handover.WaitingCount;
import org.wigeonstage.placement.PoolScheduler;
import org.wigeonstage.placement.Urgency;
import org.wigeonstage.routes.Route;
import org.wigeonstage.routes.RoutingTable;

/**
 * The schedulers of all pools, each created when its name is first used. Guarded by the lock of
 * {@link GatewayCore}.
 */
final class PoolSchedulers {

  private final Function<String, PoolScheduler> factory;
  private final Map<String, PoolScheduler> byName = new HashMap<>();

  PoolSchedulers(Function<String, PoolScheduler> factory) {
    this.factory = factory;
  }

  PoolScheduler pool(String name) {
    return byName.computeIfAbsent(name, factory);
  }

  /** Returns the schedulers by the names of their pools. */
  Map<String, PoolScheduler> byName() {
    return Collections.unmodifiableMap(byName);
  }

  /** Returns whether requests wait for a slot in any pool of the route. */
  boolean hasWaitingRequests(Route route) {
    return route.pools().stream()
        .anyMatch(weightedPool -> pool(weightedPool.pool()).waitingCount() > 0);
  }

  void applyDefinitions(RoutingTable table) {
    table
        .pools()
        .forEach(pool -> pool(pool.name()).applyDefinition(pool, table.routeRanks(pool.name())));
  }

  void applyServers(List<BackendServer> servers, Duration now) {
    Map<String, List<BackendServer>> byPool =
        servers.stream().collect(Collectors.groupingBy(BackendServer::pool));
    Set<String> names = new HashSet<>(byName.keySet());
    names.addAll(byPool.keySet());
    names.forEach(name -> pool(name).applyServers(byPool.getOrDefault(name, List.of()), now));
  }

  /**
   * Applies the load that the peers have reported.
   *
   * @param running the number of running requests by backend server
   * @param waiting the number of waiting requests by pool and urgency
   * @param overShare the accounts that are over their fair share of their rank
   * @param now the current time
   */
  void applyPeerLoad(
      Map<String, Integer> running,
      List<WaitingCount> waiting,
      Set<String> overShare,
      Duration now) {
    Map<String, NavigableMap<Urgency, Integer>> byPool = GatewayLoads.waitingByPool(waiting);
    byName.forEach(
        (name, pool) -> {
          pool.applyAccountsOverShare(overShare);
          pool.applyPeerLoad(running, byPool.getOrDefault(name, new TreeMap<>()), now);
        });
  }

  /** Tells the pools for how long this process was late. */
  void recordProcessDelay(Duration from, Duration now) {
    byName.forEach(
        (name, pool) ->
            RepeatedTask.runPart("delay of " + name, () -> pool.recordProcessDelay(from, now)));
  }

  void tick(Duration now) {
    byName.forEach((name, pool) -> RepeatedTask.runPart("check of " + name, () -> pool.tick(now)));
  }
}
