package org.wigeonstage.fleet;

import java.util.List;

/**
 * The registered backend servers at one revision of the store.
 *
 * @param revision the store's revision
 * @param servers the servers whose registrations could be decoded
 * @param unreadable the number of registrations that could not be decoded and were omitted
 */
public record ServerList(long revision, List<BackendServer> servers, int unreadable) {

  /** Copies the list. */
  public ServerList {
    servers = List.copyOf(servers);
  }
}
