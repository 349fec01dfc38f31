package org.wigeonstage.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wigeonstage.fleet.BackendServer;

/**
 * Counts the responses that a gateway receives from the servers of a pool while an order is open.
 *
 * <p>Not thread-safe.
 */
public final class EvidenceRecorder {

  /** The number of pairs of route and server that are counted; others are ignored. */
  private static final int MAX_ENTRIES = 256;

  private final String target;
  private final Map<Key, Entry> entries = new HashMap<>();

  private record Key(String route, String serverId) {}

  private static final class Entry {
    private int responses;
    private int failures;
    private boolean isReported;
    private final Map<Integer, Integer> firstParts = new HashMap<>();
    private final Map<Integer, Integer> durations = new HashMap<>();
  }

  /**
   * Creates a recorder without responses.
   *
   * @param target the target version of the order
   */
  public EvidenceRecorder(String target) {
    this.target = target;
  }

  /**
   * Records a failed response.
   *
   * @param route the route of the request
   * @param server the server
   */
  public void recordFailure(String route, BackendServer server) {
    Entry entry = entry(route, server);
    entry.responses++;
    entry.failures++;
  }

  /**
   * Records a response, or one that was given up late.
   *
   * @param route the route of the request
   * @param server the server
   * @param firstPart the time to the first part
   * @param duration the time to the end
   */
  public void recordResponse(
      String route, BackendServer server, Duration firstPart, Duration duration) {
    Entry entry = entry(route, server);
    entry.responses++;
    entry.firstParts.merge(TimeHistogram.bucketOf(firstPart), 1, Integer::sum);
    entry.durations.merge(TimeHistogram.bucketOf(duration), 1, Integer::sum);
  }

  private Entry entry(String route, BackendServer server) {
    String serverId = server.version().equals(target) ? server.id() : ResponseCounts.OTHER_VERSIONS;
    Key key = new Key(route, serverId);
    Entry entry = entries.get(key);
    if (entry == null) {
      entry = new Entry();
      if (entries.size() < MAX_ENTRIES) {
        entries.put(key, entry);
      }
    }
    entry.isReported = false;
    return entry;
  }

  /**
   * Returns the counts that have changed since the last call, or all.
   *
   * @param includesReported whether to return all
   * @return the counts by route and server
   */
  public List<ResponseCounts> takeCounts(boolean includesReported) {
    List<ResponseCounts> counts = new ArrayList<>();
    entries.forEach(
        (key, entry) -> {
          if (includesReported || !entry.isReported) {
            entry.isReported = true;
            counts.add(
                new ResponseCounts(
                    key.route(),
                    key.serverId(),
                    entry.responses,
                    entry.failures,
                    new TimeHistogram(entry.firstParts),
                    new TimeHistogram(entry.durations)));
          }
        });
    return counts;
  }
}
