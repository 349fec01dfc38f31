package org.wigeonstage.gateway;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.Set;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.fleet.ServerList;
import org.wigeonstage.telemetry.DecisionLog;

/** Tracks the list of backend servers, and logs which ones are added or removed. */
final class ServerListTracker {

  private Set<String> serverIds = Set.of();
  private boolean hasList;

  void update(ServerList list) {
    Set<String> listedIds =
        list.servers().stream().map(BackendServer::id).collect(ImmutableSet.toImmutableSet());
    if (!listedIds.equals(serverIds)) {
      DecisionLog.write(
          "servers-changed",
          "revision",
          list.revision(),
          "added",
          Sets.difference(listedIds, serverIds),
          "removed",
          Sets.difference(serverIds, listedIds),
          "unreadable",
          list.unreadable());
    }
    serverIds = listedIds;
    hasList = true;
  }

  /** Returns whether a list has been read. */
  boolean hasList() {
    return hasList;
  }
}
