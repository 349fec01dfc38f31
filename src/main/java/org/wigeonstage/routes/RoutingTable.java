package org.wigeonstage.routes;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One version of the configuration of routes, pools and client accounts. Immutable. */
public final class RoutingTable {

  private final long version;
  private final TrafficLimits limits;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, PoolDefinition> pools = new HashMap<>();
  private final Map<String, ClientAccount> accountsByKeyHash = new HashMap<>();
  private final List<ClientAccount> accounts;

  /**
   * Creates a table.
   *
   * @param version the operators' version
   * @param routes the routes
   * @param pools the pools
   * @param accounts the client accounts; none where callers need no keys
   * @param limits the limits for callers' connections
   */
  public RoutingTable(
      long version,
      List<Route> routes,
      List<PoolDefinition> pools,
      List<ClientAccount> accounts,
      TrafficLimits limits) {
    this.version = version;
    this.limits = limits;
    this.accounts = List.copyOf(accounts);
    for (Route route : routes) {
      routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
    }
    Comparator<Route> longestPrefixFirst =
        Comparator.comparingInt(route -> -route.pathPrefix().length());
    routesByHost.values().forEach(list -> list.sort(longestPrefixFirst));
    pools.forEach(pool -> this.pools.put(pool.name(), pool));
    accounts.forEach(
        account -> account.keyHashes().forEach(hash -> accountsByKeyHash.put(hash, account)));
  }

  /**
   * Returns the operators' version of this table.
   *
   * @return the version
   */
  public long version() {
    return version;
  }

  /**
   * Returns the limits for callers' connections.
   *
   * @return the limits
   */
  public TrafficLimits limits() {
    return limits;
  }

  /**
   * Finds the route with the longest prefix.
   *
   * @param host the host that the caller names, without a port
   * @param path the path
   * @return the route, or empty
   */
  public Optional<Route> route(String host, String path) {
    return routesByHost.getOrDefault(host, List.of()).stream()
        .filter(route -> path.startsWith(route.pathPrefix()))
        .findFirst();
  }

  /**
   * Returns the number of routes.
   *
   * @return the number
   */
  public int routeCount() {
    return routesByHost.values().stream().mapToInt(List::size).sum();
  }

  /**
   * Returns a pool.
   *
   * @param name the pool's name
   * @return the pool, or empty where it is not defined
   */
  public Optional<PoolDefinition> pool(String name) {
    return Optional.ofNullable(pools.get(name));
  }

  /**
   * Returns the pools.
   *
   * @return all pools
   */
  public List<PoolDefinition> pools() {
    return List.copyOf(pools.values());
  }

  /**
   * Returns whether callers need keys on routes that are not open.
   *
   * @return whether there are client accounts
   */
  public boolean requiresKeys() {
    return !accounts.isEmpty();
  }

  /**
   * Returns the client accounts.
   *
   * @return all accounts
   */
  public List<ClientAccount> accounts() {
    return accounts;
  }

  /**
   * Finds the account that holds a key.
   *
   * @param keyHash the SHA-256 hash of the key, in hexadecimal
   * @return the account, or empty
   */
  public Optional<ClientAccount> account(String keyHash) {
    return Optional.ofNullable(accountsByKeyHash.get(keyHash));
  }
}
