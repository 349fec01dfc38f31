package org.wigeonstage.routes;

import java.util.Set;

/**
 * A client account, whose callers share a quota and a priority.
 *
 * @param name the name, which is also sent to backend servers
 * @param keyHashes the SHA-256 hashes of its API keys, in hexadecimal
 * @param priority the rank, 0 being the most urgent; compared before the priority of the route
 * @param quota its quota
 */
public record ClientAccount(String name, Set<String> keyHashes, int priority, AccountQuota quota) {

  /** Copies the set. */
  public ClientAccount {
    keyHashes = Set.copyOf(keyHashes);
  }
}
