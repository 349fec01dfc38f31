package org.wigeonstage.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Decides which backend servers to believe in right after the store was away.
 *
 * <p>Registrations live by heartbeats, which the store does not take while it is away. So a list
 * that is read right after that may lack servers that run; they are back in it about two seconds
 * later. Until then the ones that were known before are kept. Not safe for use by several threads.
 */
public final class ServerRetention {

  /**
   * A shorter gap between two lists ends no registration: they last for three heartbeats, which are
   * about a second apart. A single watch that is lost takes 1.9 s.
   */
  private static final Duration MIN_ABSENCE = Duration.ofMillis(2300);

  /** The store's users promise that lapsed registrations are back in about two seconds. */
  private static final Duration RETURN_TIME = Duration.ofMillis(2200);

  private final Map<String, BackendServer> kept = new TreeMap<>();
  private List<BackendServer> believed = List.of();
  private @Nullable Duration readAt;
  private Duration keptUntil = Duration.ZERO;

  /**
   * Takes a list that was read from the store.
   *
   * @param fresh the list
   * @param now the time, on a clock that stands still while this process is suspended
   * @return the list to believe in
   */
  public ServerList apply(ServerList fresh, Duration now) {
    Duration before = readAt;
    readAt = now;
    if (before != null && now.minus(before).compareTo(MIN_ABSENCE) > 0) {
      believed.stream()
          .filter(server -> !server.isLeaving())
          .forEach(server -> kept.put(server.id(), server));
      keptUntil = now.plus(RETURN_TIME);
    }
    if (now.compareTo(keptUntil) >= 0) {
      kept.clear();
    }
    ServerList merged = merge(fresh);
    believed = merged.servers();
    return merged;
  }

  /** Adds what is kept, but for servers that are back or whose address serves another one now. */
  private ServerList merge(ServerList fresh) {
    Map<String, BackendServer> byAddress =
        fresh.servers().stream()
            .collect(Collectors.toMap(BackendServer::address, Function.identity(), (a, b) -> a));
    fresh.servers().forEach(server -> kept.remove(server.id()));
    kept.values().removeIf(server -> byAddress.containsKey(server.address()));
    if (kept.isEmpty()) {
      return fresh;
    }
    List<BackendServer> servers = new ArrayList<>(fresh.servers());
    servers.addAll(kept.values());
    return new ServerList(fresh.revision(), servers, fresh.unreadable());
  }

  /**
   * Returns the servers that are believed in although the store does not list them.
   *
   * @return their identifiers
   */
  public List<String> retained() {
    return List.copyOf(kept.keySet());
  }
}
