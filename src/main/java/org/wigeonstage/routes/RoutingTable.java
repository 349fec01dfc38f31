package org.wigeonstage.routes;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** The configuration: the routes, pools and client accounts of one version. Immutable. */
public final class RoutingTable {

  private final long version;
  private final ConnectionLimits limits;
  private final Map<String, List<Route>> routesByHostName = new HashMap<>();
  private final Map<String, PoolDefinition> pools = new HashMap<>();
  private final Map<String, ClientAccount> accountsByKeyHash = new HashMap<>();
  private final List<ClientAccount> accounts;

  /**
   * Creates a table.
   *
   * @param version the version that operators assigned
   * @param routes the routes
   * @param pools the pools
   * @param accounts the client accounts; empty if callers need no API keys
   * @param limits the limits on callers' connections
   */
  public RoutingTable(
      long version,
      List<Route> routes,
      List<PoolDefinition> pools,
      List<ClientAccount> accounts,
      ConnectionLimits limits) {
    this.version = version;
    this.limits = limits;
    this.accounts = List.copyOf(accounts);
    for (Route route : routes) {
      routesByHostName.computeIfAbsent(route.hostName(), name -> new ArrayList<>()).add(route);
    }
    Comparator<Route> longestPrefixFirst =
        Comparator.comparingInt(route -> -route.pathPrefix().length());
    routesByHostName.values().forEach(hostRoutes -> hostRoutes.sort(longestPrefixFirst));
    pools.forEach(pool -> this.pools.put(pool.name(), pool));
    accounts.forEach(
        account -> account.keyHashes().forEach(hash -> accountsByKeyHash.put(hash, account)));
  }

  /**
   * Returns the version that operators assigned.
   *
   * @return the version
   */
  public long version() {
    return version;
  }

  /**
   * Returns the limits on callers' connections.
   *
   * @return the limits
   */
  public ConnectionLimits limits() {
    return limits;
  }

  /**
   * Returns the matching route with the longest prefix.
   *
   * @param hostName the host name in the caller's request, without a port
   * @param path the path
   * @return the route, or empty if none matches
   */
  public Optional<Route> route(String hostName, String path) {
    return routesByHostName.getOrDefault(hostName, List.of()).stream()
        .filter(route -> path.startsWith(route.pathPrefix()))
        .findFirst();
  }

  /**
   * Returns all routes.
   *
   * @return the routes, in which those of one host are ordered by the length of their prefixes
   */
  public List<Route> routes() {
    return routesByHostName.values().stream().flatMap(List::stream).toList();
  }

  /**
   * Returns whether another table has the same version and content.
   *
   * @param other the other table
   * @return whether both decide the same for each request
   */
  public boolean hasSameContent(RoutingTable other) {
    return version == other.version
        && limits.equals(other.limits)
        && routesByHostName.equals(other.routesByHostName)
        && pools.equals(other.pools)
        && accounts.equals(other.accounts);
  }

  /**
   * Returns the number of routes.
   *
   * @return the number
   */
  public int routeCount() {
    return routesByHostName.values().stream().mapToInt(List::size).sum();
  }

  /**
   * Returns the pool with the given name.
   *
   * @param name the pool's name
   * @return the pool, or empty if it is not defined
   */
  public Optional<PoolDefinition> pool(String name) {
    return Optional.ofNullable(pools.get(name));
  }

  /**
   * Returns all pools.
   *
   * @return the pools in no particular order
   */
  public List<PoolDefinition> pools() {
    return List.copyOf(pools.values());
  }

  /**
   * Returns the ranks of the routes that lead to a pool.
   *
   * @param poolName the pool's name
   * @return the ranks
   */
  public Set<Integer> routeRanks(String poolName) {
    return routesByHostName.values().stream()
        .flatMap(List::stream)
        .filter(route -> route.pools().stream().anyMatch(pool -> pool.pool().equals(poolName)))
        .map(Route::rank)
        .collect(Collectors.toUnmodifiableSet());
  }

  /**
   * Returns whether callers need API keys on routes that do not allow anonymous requests.
   *
   * @return whether there are client accounts
   */
  public boolean requiresApiKeys() {
    return !accounts.isEmpty();
  }

  /**
   * Returns all client accounts.
   *
   * @return the accounts
   */
  public List<ClientAccount> accounts() {
    return accounts;
  }

  /**
   * Returns the account that owns an API key.
   *
   * @param keyHash the SHA-256 hash of the key, in hexadecimal
   * @return the account, or empty if the key is unknown
   */
  public Optional<ClientAccount> account(String keyHash) {
    return Optional.ofNullable(accountsByKeyHash.get(keyHash));
  }
}
