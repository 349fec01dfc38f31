package org.wigeonstage.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.http.Endpoint;

/**
 * Retains backend servers whose registrations may have expired during an outage of the store.
 *
 * <p>Registrations expire without heartbeats, which the store cannot receive during an outage. A
 * list that is read right after the outage may therefore lack servers that are running; they are
 * registered again about two seconds later. Until then, the previously known servers are retained.
 * Not thread-safe.
 */
public final class ServerRetention {

  /**
   * The minimum time between two lists that indicates an outage. Registrations do not expire
   * sooner, because they last for three heartbeats, which are about one second apart. It is longer
   * than a single lost watch call, which is no outage: it takes 2.25 s, of which the store may hold
   * it for 1.6 s and its loss is detected after 0.6 s more (see {@code WatchTimes}).
   */
  private static final Duration MIN_OUTAGE = Duration.ofMillis(2300);

  /** Clients of the store renew expired registrations within about 2 s after an outage. */
  private static final Duration RETENTION_TIME = Duration.ofMillis(2200);

  private final Map<String, BackendServer> retained = new TreeMap<>();
  private List<BackendServer> lastServers = List.of();
  private @Nullable Duration lastReadAt;
  private Duration retainUntil = Duration.ZERO;

  /**
   * Adds the retained servers to a list that was read from the store.
   *
   * @param fresh the list
   * @param now the current time, on a clock that stops while this process is suspended
   * @return the list to use
   */
  public ServerList apply(ServerList fresh, Duration now) {
    Duration previousReadAt = lastReadAt;
    lastReadAt = now;
    if (previousReadAt != null && now.minus(previousReadAt).compareTo(MIN_OUTAGE) > 0) {
      lastServers.stream()
          .filter(server -> !server.isLeaving())
          .forEach(server -> retained.put(server.id(), server));
      retainUntil = now.plus(RETENTION_TIME);
    }
    if (now.compareTo(retainUntil) >= 0) {
      retained.clear();
    }
    ServerList merged = merge(fresh);
    lastServers = merged.servers();
    return merged;
  }

  /**
   * Merges the retained servers into the list. Servers that are registered again, and servers whose
   * address now belongs to another server, are no longer retained.
   */
  private ServerList merge(ServerList fresh) {
    Map<Endpoint, BackendServer> byAddress =
        fresh.servers().stream()
            .collect(Collectors.toMap(BackendServer::address, Function.identity(), (a, b) -> a));
    fresh.servers().forEach(server -> retained.remove(server.id()));
    retained.values().removeIf(server -> byAddress.containsKey(server.address()));
    if (retained.isEmpty()) {
      return fresh;
    }
    List<BackendServer> servers = new ArrayList<>(fresh.servers());
    servers.addAll(retained.values());
    return new ServerList(fresh.revision(), servers, fresh.unreadable());
  }

  /**
   * Returns the retained servers that are missing from the store's list.
   *
   * @return their IDs
   */
  public List<String> retained() {
    return List.copyOf(retained.keySet());
  }
}
