package org.wigeonstage.handover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Computes and applies the changes between two loads of a gateway.
 *
 * <p>A gateway with 30 peers sends 600 reports per second. Between two of them, the requests of a
 * few servers and the usage of a few accounts change.
 */
public final class LoadChanges {

  private LoadChanges() {}

  /** What the requests of a {@link WaitingCount} wait for. */
  private record WaitingKey(String pool, int accountRank, int routeRank) {

    static WaitingKey of(WaitingCount count) {
      return new WaitingKey(count.pool(), count.accountRank(), count.routeRank());
    }

    WaitingCount withCount(int count) {
      return new WaitingCount(pool, accountRank, routeRank, count);
    }
  }

  /**
   * Returns the changes from one load to another. They contain neither the recent usage nor the
   * used part of the tolerated burst, which peers need only with the first report.
   *
   * @param previous the earlier, complete load
   * @param current the later, complete load
   * @return the changes
   */
  public static Message.GatewayLoad between(
      Message.GatewayLoad previous, Message.GatewayLoad current) {
    Map<String, Long> usage = new HashMap<>(current.totalUsage());
    usage.entrySet().removeIf(e -> e.getValue().equals(previous.totalUsage().get(e.getKey())));
    return new Message.GatewayLoad(
        false,
        current.isLeaving(),
        changedCounts(previous.runningByServer(), current.runningByServer()),
        toWaiting(changedCounts(toCounts(previous.waiting()), toCounts(current.waiting()))),
        usage,
        Map.of(),
        Map.of());
  }

  /**
   * Applies a report to the load that is known from the earlier ones.
   *
   * @param known the load that is known
   * @param report a complete load, or changes to the known one
   * @return the complete load; only a complete report provides the recent usage and the used part
   *     of the tolerated burst
   */
  public static Message.GatewayLoad apply(Message.GatewayLoad known, Message.GatewayLoad report) {
    if (report.isComplete()) {
      return report;
    }
    // What has not changed is not copied: most reports contain a few changes or none.
    return new Message.GatewayLoad(
        true,
        report.isLeaving(),
        report.runningByServer().isEmpty()
            ? known.runningByServer()
            : mergedCounts(known.runningByServer(), report.runningByServer()),
        report.waiting().isEmpty()
            ? known.waiting()
            : toWaiting(mergedCounts(toCounts(known.waiting()), toCounts(report.waiting()))),
        report.totalUsage().isEmpty()
            ? known.totalUsage()
            : merged(known.totalUsage(), report.totalUsage()),
        known.recentUsage(),
        known.toleratedBurstUsed());
  }

  /** Returns the counts that differ; 0 for those that have ended. */
  private static <K> Map<K, Integer> changedCounts(
      Map<K, Integer> previous, Map<K, Integer> current) {
    Map<K, Integer> changed = new HashMap<>();
    current.forEach(
        (key, count) -> {
          if (previous.getOrDefault(key, 0).intValue() != count) {
            changed.put(key, count);
          }
        });
    previous.forEach(
        (key, count) -> {
          if (count != 0 && !current.containsKey(key)) {
            changed.put(key, 0);
          }
        });
    return changed;
  }

  private static <K, V> Map<K, V> merged(Map<K, V> known, Map<K, V> changed) {
    Map<K, V> merged = new HashMap<>(known);
    merged.putAll(changed);
    return merged;
  }

  private static <K> Map<K, Integer> mergedCounts(Map<K, Integer> known, Map<K, Integer> changed) {
    Map<K, Integer> merged = merged(known, changed);
    merged.values().removeIf(count -> count == 0);
    return merged;
  }

  private static Map<WaitingKey, Integer> toCounts(List<WaitingCount> waiting) {
    Map<WaitingKey, Integer> counts = new HashMap<>();
    waiting.forEach(count -> counts.put(WaitingKey.of(count), count.count()));
    return counts;
  }

  private static List<WaitingCount> toWaiting(Map<WaitingKey, Integer> counts) {
    List<WaitingCount> waiting = new ArrayList<>();
    counts.forEach((key, count) -> waiting.add(key.withCount(count)));
    return waiting;
  }
}
