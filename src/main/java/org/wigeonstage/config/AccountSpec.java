package org.wigeonstage.config;

import java.util.List;

/**
 * A client account.
 *
 * @param name the account's name
 * @param keyHashes SHA-256 hashes of the account's API keys, in hexadecimal
 * @param tier the name of the tier of its requests, unless a rule sets another one
 * @param requestsPerSecond the maximum rate of the account's requests, summed over all entries
 */
public record AccountSpec(
    String name, List<String> keyHashes, String tier, double requestsPerSecond) {

  /** Copies the list. */
  public AccountSpec {
    keyHashes = List.copyOf(keyHashes);
  }
}
