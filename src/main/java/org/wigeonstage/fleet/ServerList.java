package org.wigeonstage.fleet;

import java.util.List;
import java.util.Map;

/**
 * The registered backend servers at one version of the store.
 *
 * @param version the store's version
 * @param servers the servers whose registrations could be decoded
 * @param unreadable the number of registrations that could not be decoded and were omitted
 * @param revisionsById the revision at which each registration was last written, by server ID;
 *     empty if unknown
 */
public record ServerList(
    StoreVersion version,
    List<BackendServer> servers,
    int unreadable,
    Map<String, Long> revisionsById) {

  /** Copies the collections. */
  public ServerList {
    servers = List.copyOf(servers);
    revisionsById = Map.copyOf(revisionsById);
  }

  /**
   * Creates a list of a store without eras.
   *
   * @param revision the store's revision
   * @param servers the servers
   * @param unreadable the number of registrations that were omitted
   */
  public ServerList(long revision, List<BackendServer> servers, int unreadable) {
    this(new StoreVersion(0, revision), servers, unreadable, Map.of());
  }

  /**
   * Returns the same list with other servers.
   *
   * @param otherServers the servers
   * @return the list to use
   */
  public ServerList withServers(List<BackendServer> otherServers) {
    return new ServerList(version, otherServers, unreadable, revisionsById);
  }
}
