package org.wigeonstage.fleet;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.http.Endpoint;

/**
 * Retains backend servers whose registrations may have expired during an outage of the store, or
 * may have been lost when it was restored from a copy.
 *
 * <p>Registrations expire without heartbeats, which the store cannot receive during an outage. A
 * list that is read right after the outage may therefore lack servers that are running; they are
 * registered again about two seconds later. Until then, the previously known servers are retained.
 *
 * <p>A restored store may also list servers that have left or announced that they are leaving since
 * the copy was taken. A server that did not get requests before the first list of an era gets none
 * until its registration is written again, that is, has a higher revision than that list.
 *
 * <p>Not thread-safe.
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
  private final Set<String> unconfirmed = new HashSet<>();
  private List<BackendServer> lastServers = List.of();
  private @Nullable StoreVersion lastVersion;
  private long firstRevisionOfEra;
  private boolean isRestored;
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
    StoreVersion previousVersion = lastVersion;
    lastVersion = fresh.version();
    if (previousVersion != null && fresh.version().isOfLaterEraThan(previousVersion)) {
      startEra(fresh, now);
    } else if (previousReadAt != null && now.minus(previousReadAt).compareTo(MIN_OUTAGE) > 0) {
      isRestored = false;
      retainServers(now);
    }
    if (now.compareTo(retainUntil) >= 0) {
      retained.clear();
    }
    ServerList merged = merge(fresh);
    lastServers = merged.servers();
    return merged;
  }

  private void retainServers(Duration now) {
    lastServers.stream()
        .filter(server -> !server.isLeaving())
        .forEach(server -> retained.put(server.id(), server));
    retainUntil = now.plus(RETENTION_TIME);
  }

  /** Applies the first list of an era. */
  private void startEra(ServerList fresh, Duration now) {
    retained.clear();
    retainServers(now);
    isRestored = true;
    firstRevisionOfEra = fresh.version().revision();
    unconfirmed.clear();
    fresh.servers().stream()
        .filter(server -> !isKnownRun(server))
        .forEach(server -> unconfirmed.add(server.id()));
  }

  /** Returns whether a server got requests before the restore, in the same or an earlier run. */
  private boolean isKnownRun(BackendServer listed) {
    BackendServer known = retained.get(listed.id());
    return known != null && listed.startedAtMillis() >= known.startedAtMillis();
  }

  private boolean isWrittenAgain(ServerList list, String id) {
    return list.revisionsById().getOrDefault(id, 0L) > firstRevisionOfEra;
  }

  /**
   * Merges the retained servers into the list. Servers that are registered again, and servers whose
   * address now belongs to another server, are no longer retained.
   */
  private ServerList merge(ServerList fresh) {
    unconfirmed.removeIf(id -> !fresh.revisionsById().containsKey(id) || isWrittenAgain(fresh, id));
    List<BackendServer> confirmed =
        fresh.servers().stream().filter(server -> !unconfirmed.contains(server.id())).toList();
    Map<Endpoint, BackendServer> byAddress =
        confirmed.stream()
            .collect(Collectors.toMap(BackendServer::address, Function.identity(), (a, b) -> a));
    confirmed.forEach(server -> retained.remove(server.id()));
    retained.values().removeIf(server -> byAddress.containsKey(server.address()));
    if (retained.isEmpty() && unconfirmed.isEmpty()) {
      return fresh;
    }
    List<BackendServer> servers = new ArrayList<>(confirmed);
    fresh.servers().stream()
        .filter(server -> unconfirmed.contains(server.id()) && !retained.containsKey(server.id()))
        .forEach(server -> servers.add(server.leaving()));
    servers.addAll(retained.values());
    return fresh.withServers(servers);
  }

  /**
   * Returns the retained servers that are missing from the store's list.
   *
   * @return their IDs
   */
  public List<String> retained() {
    return List.copyOf(retained.keySet());
  }

  /**
   * Returns the servers of the store's list that get nothing until their registrations are written
   * again.
   *
   * @return their IDs
   */
  public List<String> unconfirmed() {
    return unconfirmed.stream().sorted().toList();
  }

  /**
   * Returns whether the store must be asked for complete lists. After a restore, the first list of
   * the era is followed by watches, which report all servers that are registered again.
   *
   * @return whether servers are retained after an outage
   */
  public boolean needsLists() {
    return !retained.isEmpty() && !isRestored;
  }

  /**
   * Returns for how long a watch may last.
   *
   * @param limit the limit without retained servers
   * @param now the current time
   * @return the time until the retained servers must be dropped, or the limit if it is shorter
   */
  public Duration maxWatchTime(Duration limit, Duration now) {
    Duration remaining = retainUntil.minus(now);
    return retained.isEmpty() || remaining.isNegative() ? limit : Comparators.min(limit, remaining);
  }
}
