package org.wigeonstage.gateway;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.KeyHash;
import org.wigeonstage.routes.ClientAccount;

/** Finds the client account to which the caller's key belongs. */
final class AuthenticationFilter implements InboundFilter {

  /** Operators issue no longer keys, and caching longer ones would take much memory. */
  private static final int MAX_CACHED_KEY_LENGTH = 128;

  private final Map<String, String> hashCache = new HashCache();

  @Override
  public Optional<Rejection> apply(InboundRequest request) {
    if (!request.table().requiresApiKeys() || request.route().allowsAnonymous()) {
      return Optional.empty();
    }
    Optional<ClientAccount> account =
        request.fields().apiKey().flatMap(key -> request.table().account(hashOf(key)));
    if (account.isEmpty()) {
      return Optional.of(Rejection.of(ErrorCode.UNAUTHORIZED, "the API key is missing or unknown"));
    }
    request.setAccount(account.get());
    return Optional.empty();
  }

  private String hashOf(String key) {
    return key.length() > MAX_CACHED_KEY_LENGTH
        ? KeyHash.ofOctets(key)
        : hashCache.computeIfAbsent(key, KeyHash::ofOctets);
  }

  /** Caches the hashes of the latest keys, because hashing is slow right after a start. */
  private static final class HashCache extends LinkedHashMap<String, String> {

    private static final long serialVersionUID = 1L;

    /** Three times the expected number of client accounts. */
    private static final int MAX_KEYS = 1024;

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
      return size() > MAX_KEYS;
    }
  }
}
