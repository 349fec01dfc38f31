package org.wigeonstage.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * The learned speeds and concurrency limits of the servers of one pool.
 *
 * <p>A server is compared with the median server. If all slow down at once, for example because the
 * gateway itself is late, the expected times of all grow and no limit is cut; at most half of the
 * servers can have a limit below their slots.
 *
 * <p>Not thread-safe. The work for a response takes constant time, apart from that of periodic
 * updates, which is proportional to the servers and the requests that await a first part.
 */
public final class PoolCapacity {

  private static final Duration UPDATE_INTERVAL = Duration.ofMillis(200);

  /** A longer interval shows that this process was late; its servers are not. */
  private static final Duration MAX_UPDATE_INTERVAL = Duration.ofMillis(300);

  private static final double SLOW = Math.log(1.5);

  private final SpeedProfile poolProfile = new SpeedProfile(null);
  private final Map<String, SpeedProfile> profiles = new HashMap<>();
  private final Map<String, ServerCapacity> servers = new HashMap<>();
  private List<LimitChange> limitChanges = new ArrayList<>();
  private int slowServers;
  private boolean isUpdated;
  private Duration updatedAt = Duration.ZERO;

  /**
   * Returns what is known about a run of a server, which starts with the figures of its version.
   *
   * @param runId identifies the run of the server
   * @param version the version of its software
   * @param slots the requests that it runs at once
   * @return the learned figures
   */
  public ServerCapacity server(String runId, String version, int slots) {
    return servers.computeIfAbsent(
        runId,
        key ->
            new ServerCapacity(
                runId,
                profiles.computeIfAbsent(version, name -> new SpeedProfile(poolProfile)),
                slots));
  }

  /**
   * Forgets the servers and versions that are no longer registered.
   *
   * @param runIds the runs of servers that remain
   * @param versions the versions that remain
   */
  public void retain(Set<String> runIds, Set<String> versions) {
    servers.keySet().retainAll(runIds);
    profiles.keySet().retainAll(versions);
  }

  /**
   * Records how fast a server has generated some events of a response that still runs.
   *
   * @param runId the run of the server
   * @param millis the mean time between two of them
   * @param now the current time
   */
  public void recordPartialGap(String runId, double millis, Duration now) {
    ServerCapacity server = servers.get(runId);
    if (server != null) {
      server.recordPartialGap(millis, now);
    }
  }

  /**
   * Updates the estimates and limits. To be called often; most calls have no effect.
   *
   * @param now the current time
   */
  public void update(Duration now) {
    Duration sinceUpdate = now.minus(updatedAt);
    if (sinceUpdate.compareTo(UPDATE_INTERVAL) < 0) {
      return;
    }
    updatedAt = now;
    isUpdated = true;
    if (sinceUpdate.compareTo(MAX_UPDATE_INTERVAL) <= 0) {
      servers.values().forEach(server -> server.checkAwaited(now));
    }
    servers.values().forEach(server -> server.decay(now));
    poolProfile.update(now);
    profiles.values().forEach(profile -> profile.update(now));
    double ownMedian = median(ServerCapacity::ownLogSlowness);
    servers.values().forEach(server -> server.combine(ownMedian));
    double median = median(ServerCapacity::logRelative);
    slowServers = 0;
    for (ServerCapacity server : servers.values()) {
      double relative = server.logRelative() - median;
      slowServers += relative > SLOW ? 1 : 0;
      server.updateLimit(Math.exp(relative), now).ifPresent(limitChanges::add);
    }
  }

  /** Returns the lower median, so that one of two servers can be slow. */
  private double median(ToDoubleFunction<ServerCapacity> value) {
    double[] values = servers.values().stream().mapToDouble(value).sorted().toArray();
    return values.length == 0 ? 0 : values[(values.length - 1) / 2];
  }

  /**
   * Returns the reports that peers need now. Most calls return none without any work.
   *
   * @param maxCount the largest number of reports; others follow after the next update
   * @param now the current time
   * @return the reports
   */
  public List<SpeedReport> takeReports(int maxCount, Duration now) {
    if (!isUpdated) {
      return List.of();
    }
    isUpdated = false;
    List<SpeedReport> reports = new ArrayList<>();
    for (ServerCapacity server : servers.values()) {
      if (reports.size() < maxCount) {
        server.takeReport(now).ifPresent(reports::add);
      }
    }
    return reports;
  }

  /**
   * Applies the report of a peer, unless it is about a server of another pool.
   *
   * @param peer the name of the peer
   * @param report the report
   * @param now the current time
   */
  public void applyReport(String peer, SpeedReport report, Duration now) {
    ServerCapacity server = servers.get(report.runId());
    if (server != null) {
      server.applyReport(peer, report, now);
    }
  }

  /**
   * Returns the changes of limits since the last call that operators should know.
   *
   * @return the changes in order
   */
  public List<LimitChange> takeLimitChanges() {
    List<LimitChange> taken = limitChanges;
    limitChanges = new ArrayList<>();
    return taken;
  }

  /**
   * Returns the current limits.
   *
   * @return the limits in brief
   */
  public CapacitySummary summary() {
    int[] limits = servers.values().stream().mapToInt(ServerCapacity::limit).toArray();
    Arrays.sort(limits);
    return limits.length == 0
        ? new CapacitySummary(0, 0, 0, 0)
        : new CapacitySummary(
            limits[0], limits[(limits.length - 1) / 2], limits[limits.length - 1], slowServers);
  }
}
