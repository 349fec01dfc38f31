package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.fleet.ServerList;
import org.wigeonstage.fleet.StoreVersion;
import org.wigeonstage.fleet.StoredConfiguration;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.rollout.RolloutOrder;
import org.wigeonstage.rollout.RolloutState;
import org.wigeonstage.routes.ConnectionLimits;
import org.wigeonstage.routes.RoutingTable;

/** A store in memory, for tests in virtual time, that can be restored from a copy. */
final class SimulatedStore {

  private static final String ORDER = "order";

  private Contents contents = new Contents();
  long era;

  /** What a copy holds. */
  private static final class Contents {
    private final TreeMap<String, BackendServer> servers = new TreeMap<>();
    private final Map<String, Long> revisions = new HashMap<>();
    private long revision = 1;
    private long configuration;
    private String target = "v1";
    private RolloutState state = RolloutState.REQUESTED;
    private String stateTarget = "v1";

    private Contents copy() {
      Contents copy = new Contents();
      copy.servers.putAll(servers);
      copy.revisions.putAll(revisions);
      copy.revision = revision;
      copy.configuration = configuration;
      copy.target = target;
      copy.state = state;
      copy.stateTarget = stateTarget;
      return copy;
    }
  }

  Runnable copy() {
    Contents copy = contents.copy();
    return () -> {
      contents = copy.copy();
      era++;
    };
  }

  private long write(String name) {
    contents.revisions.put(name, ++contents.revision);
    return contents.revision;
  }

  void writeConfiguration(long version) {
    write("configuration");
    contents.configuration = version;
  }

  void writeOrder(String target) {
    write(ORDER);
    contents.target = target;
  }

  void writeServer(String id, boolean isLeaving) {
    write(id);
    Endpoint address = new Endpoint("10.0.0.1", 1000 + Integer.parseInt(id.substring(1)));
    contents.servers.put(id, new BackendServer(id, "pool", address, "fd", 4, isLeaving, 0));
  }

  void removeServer(String id) {
    contents.revision++;
    contents.servers.remove(id);
    contents.revisions.remove(id);
  }

  /** Writes a state if the order still has the revision, whatever the era; returns the order. */
  RolloutOrder writeState(RolloutOrder order, RolloutState state) {
    if (contents.revisions.get(ORDER) == order.version().revision()) {
      write(ORDER);
      contents.state = state;
      contents.stateTarget = order.target();
    }
    return order();
  }

  RolloutOrder order() {
    RolloutState state =
        contents.stateTarget.equals(contents.target) ? contents.state : RolloutState.REQUESTED;
    return new RolloutOrder(
        ORDER,
        "pool",
        contents.target,
        Duration.ofSeconds(12),
        new StoreVersion(era, contents.revisions.get(ORDER)),
        state);
  }

  ServerList servers() {
    Map<String, Long> revisions = new HashMap<>(contents.revisions);
    revisions.keySet().retainAll(contents.servers.keySet());
    List<BackendServer> servers = new ArrayList<>(contents.servers.values());
    return new ServerList(new StoreVersion(era, contents.revision), servers, 0, revisions);
  }

  StoredConfiguration configuration() {
    ConnectionLimits limits = new ConnectionLimits(1, 1, Duration.ZERO, Duration.ZERO);
    return new StoredConfiguration(
        new StoreVersion(era, contents.revisions.get("configuration")),
        new RoutingTable(contents.configuration, List.of(), List.of(), List.of(), limits));
  }
}
