package org.wigeonstage.fleet;

import java.util.List;

/**
 * All registered backend servers at one revision of the store.
 *
 * @param revision the store's revision
 * @param servers those whose entries could be read
 * @param unreadable the number of entries that were left out
 */
public record ServerList(long revision, List<BackendServer> servers, int unreadable) {

  /** Makes the list immutable. */
  public ServerList {
    servers = List.copyOf(servers);
  }
}
