package org.wigeonstage.routes;

import java.util.Set;

/**
 * A customer whose callers share a limit and a tier.
 *
 * @param name the name that backend servers are told
 * @param keyHashes SHA-256 hashes of its keys, in hexadecimal
 * @param priority the rank that goes before the route's, 0 being the most urgent
 * @param quota its limit
 */
public record ClientAccount(String name, Set<String> keyHashes, int priority, AccountQuota quota) {

  /** Makes the set immutable. */
  public ClientAccount {
    keyHashes = Set.copyOf(keyHashes);
  }
}
