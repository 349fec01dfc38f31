package org.wigeonstage.routes;

import java.util.Set;

/**
 * A client account, whose callers share a quota and a rank.
 *
 * @param name the name, which is also sent to backend servers
 * @param keyHashes the SHA-256 hashes of its API keys, in hexadecimal
 * @param rank the rank, which is compared before the rank of the route; 0 is the most urgent
 * @param quota its quota
 */
public record ClientAccount(String name, Set<String> keyHashes, int rank, AccountQuota quota) {

  /** Copies the set. */
  public ClientAccount {
    keyHashes = Set.copyOf(keyHashes);
  }
}
