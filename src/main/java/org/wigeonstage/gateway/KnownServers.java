package org.wigeonstage.gateway;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collector;
import java.util.stream.Collectors;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.fleet.LeavingServers;
import org.wigeonstage.fleet.ServerList;
import org.wigeonstage.handover.Message;
import org.wigeonstage.telemetry.DecisionLog;

/**
 * Combines the store's list of backend servers with what servers have announced in their responses,
 * and logs both. Guarded by the lock of {@link GatewayCore}.
 */
final class KnownServers {

  /** The source of announcements that this gateway has received itself. */
  static final String OWN = "own";

  private final MonotonicClock clock;
  private final MetricRegistry metrics;
  private final LeavingServers leavingServers = new LeavingServers();
  private final List<Message.ServerLeaving> unreported = new ArrayList<>();
  private ServerList listed = new ServerList(0, List.of(), 0);
  private Set<String> serverIds = Set.of();
  private Map<String, String> leftOut = Map.of();
  private boolean hasList;

  KnownServers(MonotonicClock clock, MetricRegistry metrics) {
    this.clock = clock;
    this.metrics = metrics;
  }

  /** Applies a list that was read from the store. */
  void update(ServerList list) {
    Set<String> listedIds =
        list.servers().stream().map(BackendServer::id).collect(ImmutableSet.toImmutableSet());
    if (!listedIds.equals(serverIds)) {
      DecisionLog.write(
          "servers-changed",
          "revision",
          list.version().revision(),
          "added",
          Sets.difference(listedIds, serverIds),
          "removed",
          Sets.difference(serverIds, listedIds),
          "unreadable",
          list.unreadable());
    }
    listed = list;
    serverIds = listedIds;
    hasList = true;
  }

  /** Returns whether a list has been read. */
  boolean hasList() {
    return hasList;
  }

  /** Returns the servers; those that have announced it are leaving. */
  List<BackendServer> servers() {
    List<BackendServer> servers = leavingServers.apply(listed, clock.elapsed()).servers();
    leftOut =
        Sets.difference(Set.copyOf(servers), Set.copyOf(listed.servers())).stream()
            .collect(Collectors.groupingBy(BackendServer::pool, leftOutText()));
    return servers;
  }

  private static Collector<BackendServer, ?, String> leftOutText() {
    return Collectors.collectingAndThen(
        Collectors.mapping(BackendServer::id, Collectors.toSet()), PromptHolds::text);
  }

  /**
   * Records that a run of a server has announced that it is leaving.
   *
   * @param age the time since the announcement was received
   * @param source the peer that received it, or {@link #OWN}
   * @return whether this was not known
   */
  boolean recordLeaving(String runId, Duration age, String source) {
    Duration now = clock.elapsed();
    boolean isNew = leavingServers.record(runId, now.minus(age), now);
    if (isNew) {
      metrics.counter("servers.announcedLeaving").inc();
      DecisionLog.write("server-leaving", "run", runId, "source", source);
      if (source.equals(OWN)) {
        unreported.add(new Message.ServerLeaving(runId, age));
      }
    }
    return isNew;
  }

  /** Returns the announcements that this gateway has received since the last call. */
  List<Message.ServerLeaving> takeUnreported() {
    List<Message.ServerLeaving> taken = List.copyOf(unreported);
    unreported.clear();
    return taken;
  }

  /** Returns all announcements that count, for a peer that may have missed some. */
  List<Message.ServerLeaving> announcements() {
    Duration now = clock.elapsed();
    return leavingServers.announcements(now).entrySet().stream()
        .map(entry -> new Message.ServerLeaving(entry.getKey(), now.minus(entry.getValue())))
        .toList();
  }

  /** Returns which servers of a pool get no requests only because of their announcements. */
  String leftOut(String pool) {
    return leftOut.getOrDefault(pool, "");
  }
}
