package org.wigeonstage.gateway;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.Set;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.fleet.ServerList;
import org.wigeonstage.telemetry.DecisionLog;

/** The backend servers of the list that was read last; writes a line for each change. */
final class ServerListTracker {

  private Set<String> ids = Set.of();
  private boolean known;

  void update(ServerList list) {
    Set<String> listed =
        list.servers().stream().map(BackendServer::id).collect(ImmutableSet.toImmutableSet());
    if (!listed.equals(ids)) {
      DecisionLog.write(
          "servers-changed",
          "revision",
          list.revision(),
          "added",
          Sets.difference(listed, ids),
          "removed",
          Sets.difference(ids, listed),
          "unreadable",
          list.unreadable());
    }
    ids = listed;
    known = true;
  }

  /** Returns whether a list was read. */
  boolean isKnown() {
    return known;
  }
}
