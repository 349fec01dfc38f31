package org.wigeonstage.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The backend servers that have announced in a response that they are leaving. An announcement
 * concerns one run of a server, and neither its address nor a later run.
 *
 * <table>
 * <caption>Whether a run of a server gets new requests</caption>
 * <tr><th>store's list</th><th>announcement</th><th>gets new requests</th></tr>
 * <tr><td>ready, or retained without the store</td><td>none</td><td>yes</td></tr>
 * <tr><td>ready, or retained without the store</td><td>by a response or a peer</td><td>no</td></tr>
 * <tr><td>leaving, or absent</td><td>any</td><td>no</td></tr>
 * <tr><td>ready</td><td>older than {@link #LIFETIME}</td><td>yes</td></tr>
 * </table>
 *
 * <p>Not thread-safe.
 */
public final class LeavingServers {

  /** A server that is still registered this long after its announcement is not leaving. */
  public static final Duration LIFETIME = Duration.ofMinutes(10);

  /** Maximum number of runs; beyond it, the oldest announcement is dropped. */
  public static final int MAX_RUNS = 4096;

  private final Map<String, Duration> announcedAtByRun = new HashMap<>();

  /**
   * Records an announcement.
   *
   * @param runId identifies the run of the server
   * @param announcedAt when the announcement was received
   * @param now the current time
   * @return whether the run was not known to be leaving
   */
  public boolean record(String runId, Duration announcedAt, Duration now) {
    if (isExpired(announcedAt, now)) {
      return false;
    }
    Duration before = announcedAtByRun.get(runId);
    if (before == null || before.compareTo(announcedAt) < 0) {
      announcedAtByRun.put(runId, announcedAt);
    }
    if (before == null && announcedAtByRun.size() > MAX_RUNS) {
      dropOldest(now);
    }
    return before == null || isExpired(before, now);
  }

  private void dropOldest(Duration now) {
    announcedAtByRun.values().removeIf(announcedAt -> isExpired(announcedAt, now));
    if (announcedAtByRun.size() > MAX_RUNS) {
      announcedAtByRun.entrySet().stream()
          .min(Map.Entry.comparingByValue())
          .map(Map.Entry::getKey)
          .ifPresent(announcedAtByRun::remove);
    }
  }

  private static boolean isExpired(Duration announcedAt, Duration now) {
    return now.minus(announcedAt).compareTo(LIFETIME) > 0;
  }

  /**
   * Returns a list in which the servers that have announced it are leaving.
   *
   * @param list the list as read from the store
   * @param now the current time
   * @return the list to use
   */
  public ServerList apply(ServerList list, Duration now) {
    if (announcedAtByRun.isEmpty()) {
      return list;
    }
    List<BackendServer> servers =
        list.servers().stream()
            .map(server -> isLeaving(server.runId(), now) ? server.leaving() : server)
            .toList();
    return list.withServers(servers);
  }

  private boolean isLeaving(String runId, Duration now) {
    Duration announcedAt = announcedAtByRun.get(runId);
    return announcedAt != null && !isExpired(announcedAt, now);
  }

  /**
   * Returns the announcements that count.
   *
   * @param now the current time
   * @return when each was received, by the run of the server
   */
  public Map<String, Duration> announcements(Duration now) {
    announcedAtByRun.values().removeIf(announcedAt -> isExpired(announcedAt, now));
    return Map.copyOf(announcedAtByRun);
  }
}
