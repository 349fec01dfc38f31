package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.wigeonstage.handover.Message;
import org.wigeonstage.handover.WaitingCount;
import org.wigeonstage.placement.PoolScheduler;
import org.wigeonstage.placement.Urgency;
import org.wigeonstage.quota.AccountQuotas;

/** Converts between the load of the pools and the messages in which gateways exchange it. */
final class GatewayLoads {

  private GatewayLoads() {}

  /** Returns the complete load and quota usage of a gateway. */
  static Message.GatewayLoad of(
      Map<String, PoolScheduler> pools, AccountQuotas quotas, boolean isLeaving, Duration now) {
    Map<String, Integer> running = new HashMap<>();
    pools.values().forEach(pool -> running.putAll(pool.runningByServer()));
    List<WaitingCount> waiting = new ArrayList<>();
    pools.forEach(
        (name, pool) ->
            pool.waitingByUrgency()
                .forEach(
                    (urgency, count) ->
                        waiting.add(
                            new WaitingCount(
                                name, urgency.accountRank(), urgency.routeRank(), count))));
    boolean isEarlierUsageKnown = quotas.isEarlierUsageKnown(now);
    return new Message.GatewayLoad(
        true,
        isLeaving,
        running,
        waiting,
        quotas.ownUsage(),
        isEarlierUsageKnown ? quotas.recentUsage(now) : Map.of(),
        isEarlierUsageKnown ? quotas.toleratedBurstUsed(now) : Map.of());
  }

  /** Returns the sums of the waiting requests by pool and urgency. */
  static Map<String, NavigableMap<Urgency, Integer>> waitingByPool(List<WaitingCount> waiting) {
    Map<String, NavigableMap<Urgency, Integer>> byPool = new HashMap<>();
    for (WaitingCount count : waiting) {
      byPool
          .computeIfAbsent(count.pool(), key -> new TreeMap<>())
          .merge(new Urgency(count.accountRank(), count.routeRank()), count.count(), Integer::sum);
    }
    return byPool;
  }
}
